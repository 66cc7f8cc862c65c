package job

import (
	"slices"
	"strings"
	"time"

	"siskincross/core/config"
)

// entry is a job in the scheduler's memory.
type entry struct {
	job Job
	// task is set exactly while the job is running or cancelling.
	task *task
	// reservation is the room that is being made for a waiting urgent job.
	reservation reservation
	// storedCommitID is the commit ID of the row as it was last known.
	storedCommitID string
	// dirty is true exactly while the row is behind the memory.
	dirty    bool
	refusals refusalStreak
	// lastStaleFinish is the newest attempt whose late end was noticed.
	lastStaleFinish int
	// minMemory is the least memory that the job's next attempt is expected to use.
	minMemory int64
	// queued is true exactly while the entry is in a lane and waiting.
	queued bool
	// generation grows each time the entry is put into a lane; older places in a lane are void.
	generation uint32
}

// waitList is a first-in-first-out list with void places.
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

// compact drops void places from the front and frees their memory.
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

// peek returns up to limit waiting entries in order.
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

// team is one team's share of a pool.
type team struct {
	name   string
	weight int
	// guaranteedSlots is the team's guaranteed number of the pool's slots.
	guaranteedSlots float64
	// running counts the team's tasks in the pool, without those that must leave.
	running int
	waiting int
	// blockedSince is since when the team waits below its guarantee; zero if it does not.
	blockedSince time.Time
	urgent       waitList
	// failed holds jobs that failed on at least two workers, retries other jobs that ran before; they go first.
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

// setTeams replaces weights and guaranteed slots. share is the pool's part of its organisation's slots.
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

// isBelowGuarantee reports whether t may take one more slot of its guarantee.
func (t *team) isBelowGuarantee() bool {
	return float64(t.running)+1 <= t.guaranteedSlots
}

// borrowedPerWeight returns the team's slots above its guarantee, per weight.
func (t *team) borrowedPerWeight() float64 {
	return (float64(t.running) - t.guaranteedSlots) / float64(t.weight)
}

// nextTeam returns the team whose turn it is among the waiting ones that are not
// skipped: those below their guarantee first, by the part that they use of it;
// then the borrowers, by what they borrow per weight.
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
