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
	// claim is the room that is being made for a waiting urgent job.
	claim claim
	// base is the commit ID of the row as it was last known.
	base string
	// dirty is true exactly while the row is behind the memory.
	dirty    bool
	refusals refusals
	// late is the newest attempt whose late end was noticed.
	late int
	// floor is the least memory that the job's next attempt is expected to use.
	floor int64
	// queued is true exactly while the entry is in a lane and waiting.
	queued bool
	// ticket grows each time the entry is put into a lane; older places in a lane are void.
	ticket uint32
}

// lane is a first-in-first-out list with void places.
type lane struct {
	items []place
	head  int
}

type place struct {
	entry  *entry
	ticket uint32
}

func (l *lane) push(e *entry) {
	l.items = append(l.items, place{e, e.ticket})
}

// compact drops void places from the front and frees their memory.
func (l *lane) compact() {
	for l.head < len(l.items) && !l.items[l.head].valid() {
		l.items[l.head] = place{}
		l.head++
	}
	if l.head > len(l.items)/2 && l.head > 64 {
		l.items = append([]place(nil), l.items[l.head:]...)
		l.head = 0
	}
}

func (p place) valid() bool {
	return p.entry != nil && p.entry.queued && p.entry.ticket == p.ticket
}

// first returns up to limit waiting entries in order.
func (l *lane) first(limit int) []*entry {
	l.compact()
	var found []*entry
	for i := l.head; i < len(l.items) && len(found) < limit; i++ {
		if l.items[i].valid() {
			found = append(found, l.items[i].entry)
		}
	}
	return found
}

// team is one team's share of a pool.
type team struct {
	name   string
	weight int
	// slots is the team's guaranteed number of the pool's slots.
	slots float64
	// running counts the team's tasks in the pool, without those that must leave.
	running int
	waiting int
	// blocked is since when the team waits below its guarantee; zero if it does not.
	blocked time.Time
	urgent  lane
	// failed holds jobs that failed on at least two workers, retries other jobs that ran before; they go first.
	failed  lane
	retries lane
	normal  lane
}

// backlog holds the waiting jobs of a pool by team.
type backlog struct {
	teams map[string]*team
	// list holds the teams sorted by name.
	list    []*team
	waiting int
	urgent  int
}

func (b *backlog) team(name string) *team {
	if b.teams == nil {
		b.teams = make(map[string]*team)
	}
	t := b.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1}
		b.teams[name] = t
		i, _ := slices.BinarySearchFunc(b.list, t, byName)
		b.list = slices.Insert(b.list, i, t)
	}
	return t
}

func byName(a, b *team) int {
	return strings.Compare(a.name, b.name)
}

func (b *backlog) push(e *entry) {
	t := b.team(e.job.Spec.Team)
	e.queued = true
	e.ticket++
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
	b.team(e.job.Spec.Team).waiting--
	b.waiting--
	if e.job.Spec.Urgent {
		b.urgent--
	}
}

// setTeams replaces weights and guaranteed slots. share is the pool's part of its organisation's slots.
func (b *backlog) setTeams(teams []config.Team, share float64) {
	for _, t := range b.list {
		t.weight, t.slots = 1, 0
	}
	for _, c := range teams {
		t := b.team(c.Name)
		t.weight = max(c.Weight, 1)
		t.slots = float64(c.Slots) * share
	}
}

// below reports whether t may take one more slot of its guarantee.
func (t *team) below() bool {
	return float64(t.running)+1 <= t.slots
}

// borrowed returns the team's slots above its guarantee, per weight.
func (t *team) borrowed() float64 {
	return (float64(t.running) - t.slots) / float64(t.weight)
}

// next returns the team whose turn it is among the waiting ones that are not
// skipped: those below their guarantee first, by the part that they use of it;
// then the borrowers, by what they borrow per weight.
func (b *backlog) next(skip map[*team]bool) *team {
	var best *team
	for _, t := range b.list {
		if t.waiting > 0 && !skip[t] && (best == nil || t.before(best)) {
			best = t
		}
	}
	return best
}

func (t *team) before(other *team) bool {
	if t.below() != other.below() {
		return t.below()
	}
	a, b := t.rank(), other.rank()
	if a != b {
		return a < b
	}
	return t.name < other.name
}

func (t *team) rank() float64 {
	if t.below() {
		return float64(t.running) / t.slots
	}
	return t.borrowed()
}
