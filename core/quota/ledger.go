// Package quota decides how much each organisation may have running in one pool, so that the pools together stay within
// the organisation's limit. Each pool holds a grant of the limit in the store; a start needs room in the pool's grant.
package quota

import (
	"iter"
	"slices"
	"time"

	"siskincross/core/resource"
)

// Ledger accounts, for the holder of one pool's duty, for what each organisation has running in the pool. The zero value
// limits nothing and accounts for usage only. It is not safe for concurrent use.
type Ledger struct {
	Pool string
	// Epoch is the fencing token of this holder. Entries that it writes carry it.
	Epoch uint64

	accounts map[string]*account
	// names holds the sorted names of the accounts.
	names []string
	// loaded is true once the stored rows have been read. Before that nothing is started for a bound organisation.
	loaded bool
	// superseded is true once a row has shown the epoch of a later holder of the pool.
	superseded bool
	// offered is what the workers of all pools offer together.
	offered peak
	// unresolved is true while there may be runs of an earlier holder that no organisation is charged for.
	unresolved bool
	// nextWriteAt is the earliest time of the next write that a start waits for, and nextTrimAt that of other writes.
	nextWriteAt, nextTrimAt time.Time
	nextReadAt              time.Time
	// roundAt is the time of the last call of BeginRound.
	roundAt time.Time
	// writeDue is true if the last call of NextWrite found a write that starts wait for.
	writeDue bool
}

// account is what the ledger knows of one organisation.
type account struct {
	// used is the demand of the runs that may run.
	used resource.Amount
	// limit holds the limits that can bind; a resource without one has zero. bound is true if there is any.
	limit resource.Amount
	bound bool
	// enforced holds those of the limits that starts have to respect, and configured the limits of the configuration.
	enforced, configured resource.Amount
	// claimsFrom is the time before which only running work is claimed. It is set when more limits can bind, since other
	// pools may not have claimed their running work yet.
	claimsFrom time.Time
	// unverified is true after a limit was lowered, until a write has shown what the other pools have.
	unverified bool
	// unboundAt is when the organisation ceased to be bound.
	unboundAt time.Time
	// stored is the last known row, own the pool's entry in it, if it has one, and total the sum of all entries.
	stored VersionedRow
	own    Entry
	hasOwn bool
	total  resource.Amount
	// granted is at most the stored grant of the pool, whatever became of writes without an answer.
	granted resource.Amount
	// unsure is set while a write without an answer may still take effect.
	unsure *unsureWrite
	// inherited is the grant of the earlier holder, and adopted the demand of the runs that were taken over from it.
	inherited, adopted resource.Amount
	// wanted holds the runs that lacked room in the last round, the most urgent first, and obtainable the demand of those for which the
	// limit has room.
	wanted     []want
	obtainable resource.Amount
	peak       peak
	// atLimit is true while wanted runs don't fit within the limit, which began at atLimitSince.
	atLimit      bool
	atLimitSince time.Time
	// awaited is true while another pool has runs of the organisation waiting that don't fit within the limit.
	awaited bool
}

// unsureWrite is a write without an answer. It can take effect only while the row has the version.
type unsureWrite struct {
	version uint64
	granted resource.Amount
}

// want is a number of runs that lacked room. All of them are started at once if they are a gang.
type want struct {
	demand resource.Amount
	count  int
}

func (l *Ledger) account(organisation string) *account {
	a := l.accounts[organisation]
	if a == nil {
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		a = &account{}
		l.accounts[organisation] = a
		i, _ := slices.BinarySearch(l.names, organisation)
		l.names = slices.Insert(l.names, i, organisation)
	}
	return a
}

// IsEmpty reports whether no organisation has a limit or has run anything.
func (l *Ledger) IsEmpty() bool { return len(l.accounts) == 0 }

// Used returns what an organisation has running in the pool, including runs that are being started or stopped.
func (l *Ledger) Used(organisation string) resource.Amount {
	if a := l.accounts[organisation]; a != nil {
		return a.used
	}
	return resource.Amount{}
}

// UsedByOrganisation iterates over the organisations, by name, that have or had something running in the pool, with what
// they have running.
func (l *Ledger) UsedByOrganisation() iter.Seq2[string, resource.Amount] {
	return func(yield func(string, resource.Amount) bool) {
		for _, name := range l.names {
			if !yield(name, l.accounts[name].used) {
				return
			}
		}
	}
}

// Fits reports whether the organisation may have the demand running in addition.
func (l *Ledger) Fits(organisation string, demand resource.Amount) bool {
	a := l.accounts[organisation]
	if a == nil || a.enforced == (resource.Amount{}) {
		return true
	}
	if !l.loaded || l.superseded || a.unverified || a.exceedsLimit() {
		return false
	}
	free := a.granted.Sub(l.floor(a))
	return coversPositive(free, demand.LimitedBy(a.enforced))
}

// coversPositive reports whether free has as much of each resource as demand. A resource without demand is ignored.
func coversPositive(free, demand resource.Amount) bool {
	return (demand.MilliCores <= 0 || demand.MilliCores <= free.MilliCores) &&
		(demand.MemoryMB <= 0 || demand.MemoryMB <= free.MemoryMB) &&
		(demand.Accelerators <= 0 || demand.Accelerators <= free.Accelerators)
}

// Acquire records the demand of a run that may run from now on. The empty name stands for jobs without an organisation.
func (l *Ledger) Acquire(organisation string, demand resource.Amount) {
	if organisation == "" {
		return
	}
	a := l.account(organisation)
	a.used = a.used.Add(demand)
}

// Adopt is Acquire for a run that an earlier holder started.
func (l *Ledger) Adopt(organisation string, demand resource.Amount) {
	if organisation == "" {
		return
	}
	l.Acquire(organisation, demand)
	a := l.account(organisation)
	a.adopted = a.adopted.Add(demand)
}

// Release records that a run certainly neither runs nor will run.
func (l *Ledger) Release(organisation string, demand resource.Amount) {
	if organisation == "" {
		return
	}
	a := l.account(organisation)
	a.used = a.used.Sub(demand)
}

// BeginRound forgets the runs that lacked room in the last round.
func (l *Ledger) BeginRound(now time.Time) {
	l.roundAt = now
	for _, a := range l.accounts {
		a.enforce(now)
		a.wanted, a.obtainable = a.wanted[:0], resource.Amount{}
	}
}

// Want records that runs lack room, in the order of their urgency. It returns for how many of them the limit has room, as far as is known
// of the other pools.
func (l *Ledger) Want(organisation string, demand resource.Amount, count int) int {
	a := l.accounts[organisation]
	if a == nil || !a.bound {
		return 0
	}
	demand = demand.LimitedBy(a.limit)
	a.wanted = append(a.wanted, want{demand, count})
	if a.exceedsLimit() {
		return 0
	}
	floor := l.floor(a)
	n := min(count, unitsWithin(l.ceiling(a, floor, l.roundAt).Sub(floor).Sub(a.obtainable), demand))
	a.obtainable = a.obtainable.Add(demand.Times(n))
	return n
}

// FitsBeside reports whether a demand fits within the limit of the organisation beside what other pools have been granted and what is
// lasting in this one.
func (l *Ledger) FitsBeside(organisation string, demand, lasting resource.Amount) bool {
	a := l.accounts[organisation]
	if a == nil || !a.bound {
		return true
	}
	others := a.total.Sub(a.own.Granted)
	return coversPositive(a.limit.Sub(others).Sub(lasting), demand.LimitedBy(a.limit))
}

// Superseded reports whether a later holder of the pool has written to the store.
func (l *Ledger) Superseded() bool { return l.superseded }

// waitingAfter is the time for which runs lack room before other pools are to keep none idle. Most waits end sooner, as runs end.
const waitingAfter = 300 * time.Millisecond

// Waiting returns the organisations of which runs have waited for a while that don't fit within the limit beside what other pools have been
// granted, with the time since which they have.
func (l *Ledger) Waiting(now time.Time) map[string]time.Time {
	waiting := make(map[string]time.Time)
	for name, a := range l.accounts {
		if a.bound && a.atLimit && now.Sub(a.atLimitSince) >= waitingAfter {
			waiting[name] = a.atLimitSince
		}
	}
	return waiting
}

// SetAwaited sets the organisations of which runs wait in any pool. Of these no room is kept idle.
func (l *Ledger) SetAwaited(organisations []string) {
	for _, a := range l.accounts {
		a.awaited = false
	}
	for _, name := range organisations {
		if a := l.accounts[name]; a != nil {
			a.awaited = true
		}
	}
}

// SetUnresolved sets whether there may be runs of an earlier holder that no organisation is charged for.
func (l *Ledger) SetUnresolved(unresolved bool) {
	if l.unresolved && !unresolved {
		for _, a := range l.accounts {
			a.inherited, a.adopted = resource.Amount{}, resource.Amount{}
		}
	}
	l.unresolved = unresolved
}

// reserve returns what the earlier holder may still start on incarnations that have not reported yet. Adopted runs
// count towards it also after their end, since the earlier holder doesn't learn of that end. What those incarnations offer is
// no bound: their capacity may have shrunk since, and best-effort tasks take more cores than are reserved.
func (l *Ledger) reserve(a *account) resource.Amount {
	if !l.unresolved {
		return resource.Amount{}
	}
	return a.inherited.Sub(a.adopted).Max(resource.Amount{})
}

// floor returns what may run in the pool, of the resources that are limited.
func (l *Ledger) floor(a *account) resource.Amount {
	return a.used.Add(l.reserve(a)).LimitedBy(a.limit)
}

// exceedsLimit reports whether the pools together have been granted more than the limit.
func (a *account) exceedsLimit() bool {
	return !a.total.LimitedBy(a.enforced).WithinLimit(a.enforced)
}
