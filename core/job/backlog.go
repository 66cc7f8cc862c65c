package job

import (
	"slices"
	"strings"
	"time"

	"siskincross/core/config"
)

// entry is the in-memory state of a job.
type entry struct {
	job Job
	// task is set exactly while the job is running or cancelling.
	task *task
	// reservation is the worker capacity that is reserved for a waiting urgent job.
	reservation reservation
	// storedCommitID is the commit ID of the job's row as last read or written.
	storedCommitID string
	// dirty is true exactly while the stored row lags behind memory.
	dirty    bool
	refusals refusalStreak
	// lastStaleFinish is the newest superseded attempt whose finish was recorded, so that each is recorded
	// once.
	lastStaleFinish int
	// minMemory is a lower bound of the memory demand of the job's next attempt. It is set after an eviction
	// for lack of memory.
	minMemory int64
	// queued is true exactly while the entry is in a waitList and waiting.
	queued bool
	// generation is incremented each time the entry is pushed or delayed. Items of earlier generations are stale.
	generation uint32
}

// waitList is a FIFO list. Removed entries leave stale items behind, which are skipped.
type waitList struct {
	items []waitItem
	head  int
}

type waitItem struct {
	entry      *entry
	generation uint32
}

func (l *waitList) push(e *entry) {
	l.items = append(l.items, waitItem{e, e.generation})
}

// compact drops stale items from the front and frees their memory.
func (l *waitList) compact() {
	for l.head < len(l.items) && !l.items[l.head].isCurrent() {
		l.items[l.head] = waitItem{}
		l.head++
	}
	if l.head > len(l.items)/2 && l.head > 64 {
		l.items = append([]waitItem(nil), l.items[l.head:]...)
		l.head = 0
	}
}

func (p waitItem) isCurrent() bool {
	return p.entry != nil && p.entry.queued && p.entry.generation == p.generation
}

// peek returns up to limit waiting entries in FIFO order without removing them.
func (l *waitList) peek(limit int) []*entry {
	l.compact()
	var found []*entry
	for i := l.head; i < len(l.items) && len(found) < limit; i++ {
		if l.items[i].isCurrent() {
			found = append(found, l.items[i].entry)
		}
	}
	return found
}

// team holds the waiting jobs of a team and the team's share of a pool.
type team struct {
	name   string
	weight int
	// guaranteedSlots is the number of the pool's slots that the team is guaranteed.
	guaranteedSlots float64
	// running counts the team's tasks in the pool, without those being evicted.
	running int
	waiting int
	// blockedSince is when the team, waiting below its guarantee, first found no free slot. It is zero if the
	// team is not blocked.
	blockedSince time.Time
	urgent       waitList
	// failed holds jobs that failed on at least two workers, retries holds other jobs with an earlier attempt. Both
	// are served before normal.
	failed  waitList
	retries waitList
	normal  waitList
}

// backlog holds the waiting jobs of a pool by team.
type backlog struct {
	teams map[string]*team
	// sortedTeams holds the teams sorted by name.
	sortedTeams []*team
	waiting     int
	urgent      int
}

func (b *backlog) ensureTeam(name string) *team {
	if b.teams == nil {
		b.teams = make(map[string]*team)
	}
	t := b.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1}
		b.teams[name] = t
		i, _ := slices.BinarySearchFunc(b.sortedTeams, t, compareByName)
		b.sortedTeams = slices.Insert(b.sortedTeams, i, t)
	}
	return t
}

func compareByName(a, b *team) int {
	return strings.Compare(a.name, b.name)
}

func (b *backlog) push(e *entry) {
	t := b.ensureTeam(e.job.Spec.Team)
	e.queued = true
	e.generation++
	t.waiting++
	b.waiting++
	switch {
	case e.job.Spec.Urgent:
		b.urgent++
		t.urgent.push(e)
	case len(e.job.Failures) > 1:
		t.failed.push(e)
	case e.job.Attempt > 0:
		t.retries.push(e)
	default:
		t.normal.push(e)
	}
}

func (b *backlog) remove(e *entry) {
	if !e.queued {
		return
	}
	e.queued = false
	b.ensureTeam(e.job.Spec.Team).waiting--
	b.waiting--
	if e.job.Spec.Urgent {
		b.urgent--
	}
}

// setTeams replaces weights and guaranteed slots. share is the fraction of the organisation's slots that the
// pool provides.
func (b *backlog) setTeams(teams []config.Team, share float64) {
	for _, t := range b.sortedTeams {
		t.weight, t.guaranteedSlots = 1, 0
	}
	for _, c := range teams {
		t := b.ensureTeam(c.Name)
		t.weight = max(c.Weight, 1)
		t.guaranteedSlots = float64(c.Slots) * share
	}
}

// isBelowGuarantee reports whether t can take one more slot within its guarantee.
func (t *team) isBelowGuarantee() bool {
	return float64(t.running)+1 <= t.guaranteedSlots
}

// borrowedPerWeight returns the team's slots above its guarantee divided by its weight.
func (t *team) borrowedPerWeight() float64 {
	return (float64(t.running) - t.guaranteedSlots) / float64(t.weight)
}

// nextTeam returns the waiting team to serve next, ignoring those in skip. Teams below their guarantee come
// first, the lowest used fraction of the guarantee first. Teams above it follow, the fewest borrowed slots
// per weight first.
func (b *backlog) nextTeam(skip map[*team]bool) *team {
	var best *team
	for _, t := range b.sortedTeams {
		if t.waiting > 0 && !skip[t] && (best == nil || t.precedes(best)) {
			best = t
		}
	}
	return best
}

func (t *team) precedes(other *team) bool {
	if t.isBelowGuarantee() != other.isBelowGuarantee() {
		return t.isBelowGuarantee()
	}
	a, b := t.usageRatio(), other.usageRatio()
	if a != b {
		return a < b
	}
	return t.name < other.name
}

func (t *team) usageRatio() float64 {
	if t.isBelowGuarantee() {
		return float64(t.running) / t.guaranteedSlots
	}
	return t.borrowedPerWeight()
}
