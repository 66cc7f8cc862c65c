package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"siskincross/core/resource"
)

const (
	// maxRowsPerWrite is the maximum number of rows in one write. Each takes a precondition and a value of the hundred
	// entries of a transaction.
	maxRowsPerWrite = 48
	// minWriteInterval is the minimum time between a write and the next one that starts wait for, so that the claims of
	// several rounds share a call. trimInterval is that of writes that nothing waits for.
	minWriteInterval = 50 * time.Millisecond
	trimInterval     = 300 * time.Millisecond
	// readInterval is the time between two reads while an organisation waits for other pools to give room back.
	readInterval = 250 * time.Millisecond
	// slackDivisor is the inverse of the part of a limit that the pools with a grant may hold idle together.
	slackDivisor = 4
	// minSlackShares is the minimum number of pools among which the idle part is divided.
	minSlackShares = 2
	// idleWindow is half the time for which room is kept after its last use.
	idleWindow = 200 * time.Millisecond
)

// Write is a set of rows to be stored in one transaction, each under the version that the ledger knows.
type Write struct{ Rows []RowWrite }

// RowWrite is the next row of an organisation.
type RowWrite struct {
	Organisation string
	Row          Row
	// Version is the version that the stored row must have.
	Version uint64
	granted resource.Amount
}

// peak holds the highest value of the last one to two windows.
type peak struct {
	current, previous resource.Amount
	since             time.Time
}

func (p *peak) add(value resource.Amount, window time.Duration, now time.Time) {
	switch elapsed := now.Sub(p.since); {
	case elapsed >= 2*window:
		p.current, p.previous, p.since = value, value, now
	case elapsed >= window:
		p.current, p.previous, p.since = value, p.current, now
	}
	p.current = p.current.Max(value)
}

func (p *peak) highest() resource.Amount { return p.current.Max(p.previous) }

// urgency is how soon a row has to be written.
type urgency int

const (
	notDue urgency = iota
	// dueTrim is the urgency of a write that nothing waits for.
	dueTrim
	// dueNow is the urgency of a write that starts wait for.
	dueNow
)

// NextWrite returns the rows to store next, and false if there are none now. The caller has no other write in progress,
// and passes the result to Confirm, Learn or Abandon. What is given back is not used from here on.
func (l *Ledger) NextWrite(now time.Time) (Write, bool) {
	if !l.loaded || l.superseded {
		return Write{}, false
	}
	due := l.dueChanges(now)
	most := notDue
	if len(due) > 0 {
		most = due[0].urgency
	}
	l.writeDue = most == dueNow
	if most == notDue || now.Before(l.nextWriteAt) || (most == dueTrim && now.Before(l.nextTrimAt)) {
		return Write{}, false
	}
	var w Write
	for _, c := range due {
		a := l.accounts[c.organisation]
		w.Rows = append(w.Rows, RowWrite{Organisation: c.organisation, Row: l.nextRow(a, c.granted), Version: a.stored.Version, granted: c.granted})
		a.granted = a.granted.Min(c.granted)
	}
	l.nextWriteAt, l.nextTrimAt = now.Add(minWriteInterval), now.Add(trimInterval)
	return w, true
}

// change is a grant of the pool that has to be written.
type change struct {
	organisation string
	granted      resource.Amount
	urgency      urgency
}

// dueChanges returns the changes of grants that are due, as many as a write takes, with those that starts wait for first.
func (l *Ledger) dueChanges(now time.Time) []change {
	var due []change
	for _, name := range l.names {
		if granted, urgency := l.plan(l.accounts[name], now); urgency != notDue {
			due = append(due, change{name, granted, urgency})
		}
	}
	slices.SortStableFunc(due, func(a, b change) int { return cmp.Compare(b.urgency, a.urgency) })
	return due[:min(len(due), maxRowsPerWrite)]
}

// nextRow returns an account's row with a new grant of the pool. An empty entry is kept while an earlier holder may
// start runs, because it tells that holder of this one.
func (l *Ledger) nextRow(a *account, granted resource.Amount) Row {
	if granted == (resource.Amount{}) && !l.unresolved {
		return a.stored.Row.Without(l.Pool)
	}
	return a.stored.Row.With(l.Pool, Entry{Epoch: l.Epoch, Granted: granted})
}

// plan returns the grant that the pool should have and how soon it has to be written.
func (l *Ledger) plan(a *account, now time.Time) (resource.Amount, urgency) {
	own, exists := a.own, a.hasOwn
	if !exists && a.used == (resource.Amount{}) && len(a.wanted) == 0 {
		a.atLimit = false
		return resource.Amount{}, notDue
	}
	floor := l.floor(a)
	switch {
	case exists && own.Epoch < l.Epoch:
		return own.Granted.Max(floor), dueNow
	case !a.bound:
		a.atLimit = false
		if exists && now.Sub(a.unboundAt) >= withdrawalDelay {
			return resource.Amount{}, dueTrim
		}
		return own.Granted, notDue
	}
	need := l.claimable(a, floor, now)
	a.peak.add(need, idleWindow, now)
	switch {
	case a.exceedsLimit() && floor != own.Granted:
		return floor, dueNow
	case a.exceedsLimit():
		return floor, notDue
	case a.unverified && exists:
		return own.Granted.Min(need), dueNow
	}
	return l.adjust(a, need, l.ceiling(a, floor, now))
}

// adjust returns the grant that covers the need, with some room for what is to come, and how soon it has to be written.
func (l *Ledger) adjust(a *account, need, ceiling resource.Amount) (resource.Amount, urgency) {
	stored := a.own.Granted
	keep, slack := a.peak.highest(), resource.Amount{}
	switch {
	case a.awaited:
		keep = need
	case keep != (resource.Amount{}):
		slack = a.limit.DividedBy(slackDivisor * max(minSlackShares, len(a.stored.Row)))
	}
	// Other pools find at least half of the free room.
	spare := ceiling.Sub(stored).DividedBy(2)
	target := keep.Add(slack).Min(stored.Add(spare)).Max(need)
	switch {
	case !a.granted.Covers(need):
		return a.granted.Max(target), dueNow
	case !target.Add(slack).Covers(stored):
		return stored.Min(target), dueTrim
	case !a.granted.Covers(need.Add(slack.DividedBy(2)).Min(target)):
		return a.granted.Max(target), dueTrim
	}
	return stored, notDue
}

// ceiling returns the highest grant of the pool with which all pools together stay within the limit. What is running
// or granted already is never above it.
func (l *Ledger) ceiling(a *account, floor resource.Amount, now time.Time) resource.Amount {
	own := a.own.Granted
	if now.Before(a.claimsFrom) && a.enforced == a.limit {
		return own.Max(floor)
	}
	others := a.total.Sub(own).LimitedBy(a.limit)
	return a.limit.Sub(others).Max(own).Max(floor)
}

// claimable returns the floor and the demand of the wanted runs for which there is room, each as a whole. A part of the
// room of a run would be of no use, and would be missing in another pool.
func (l *Ledger) claimable(a *account, floor resource.Amount, now time.Time) resource.Amount {
	ceiling := l.ceiling(a, floor, now)
	need := floor
	before := a.atLimit
	a.atLimit = a.exceedsLimit() && len(a.wanted) > 0
	for _, w := range a.wanted {
		n := min(w.count, unitsWithin(ceiling.Sub(need), w.demand))
		need = need.Add(w.demand.Times(n))
		a.atLimit = a.atLimit || n < w.count
	}
	if a.atLimit && !before {
		a.atLimitSince = now
	}
	return need
}

// unitsWithin returns how often a demand fits within an amount.
func unitsWithin(free, demand resource.Amount) int {
	n := math.MaxInt
	for _, r := range [][2]int{{free.MilliCores, demand.MilliCores}, {free.MemoryMB, demand.MemoryMB}, {free.Accelerators, demand.Accelerators}} {
		if r[1] > 0 {
			n = min(n, max(0, r[0])/r[1])
		}
	}
	return n
}

// WritePause returns the time until a write that was due in the last call of NextWrite may be made, or zero if none was.
func (l *Ledger) WritePause(now time.Time) time.Duration {
	if !l.writeDue {
		return 0
	}
	return l.nextWriteAt.Sub(now)
}
