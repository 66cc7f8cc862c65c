package quota

import (
	"time"

	"siskincross/core/resource"
)

// Loaded reports whether the stored rows have been read.
func (l *Ledger) Loaded() bool { return l.loaded }

// NeedsRows reports whether the stored rows have to be read before anything can be started for some organisation.
func (l *Ledger) NeedsRows() bool {
	if l.loaded {
		return false
	}
	for _, a := range l.accounts {
		if a.bound {
			return true
		}
	}
	return false
}

// Load takes the rows of a read of all organisations that began after this holder took the duty.
func (l *Ledger) Load(rows map[string]VersionedRow) {
	l.loaded = true
	for name, row := range rows {
		l.Learn(name, row)
	}
}

// Learn takes a row that was read, or that a write found instead of the one that it expected. Rows that are older than
// what is known are ignored.
func (l *Ledger) Learn(organisation string, row VersionedRow) {
	a := l.account(organisation)
	if row.Version < a.stored.Version {
		return
	}
	if a.unsure != nil && row.Version > a.unsure.version {
		a.unsure = nil
	}
	a.stored, a.total = row, row.Row.Total()
	a.own, a.hasOwn = row.Row[l.Pool]
	switch {
	case a.own.Epoch > l.Epoch:
		l.superseded = true
	case a.hasOwn && a.own.Epoch < l.Epoch:
		a.inherited, a.granted = a.own.Granted, resource.Amount{}
		return
	}
	a.granted = a.own.Granted
	if a.unsure != nil {
		a.granted = a.granted.Min(a.unsure.granted)
	}
}

// Reject takes the current rows of a write that was not carried out, because one of them had another version. A row that
// does not exist has version zero.
func (l *Ledger) Reject(w Write, current map[string]VersionedRow) {
	for _, r := range w.Rows {
		if row, ok := current[r.Organisation]; ok {
			l.Learn(r.Organisation, row)
			l.accounts[r.Organisation].unverified = false
		}
	}
	l.nextWriteAt, l.nextTrimAt = time.Time{}, time.Time{}
}

// Confirm records that a write is stored with this version.
func (l *Ledger) Confirm(w Write, version uint64) {
	for _, r := range w.Rows {
		l.Learn(r.Organisation, VersionedRow{r.Row, version})
		l.accounts[r.Organisation].unverified = false
	}
}

// Abandon records that it is not known whether a write is stored or will be.
func (l *Ledger) Abandon(w Write) {
	for _, r := range w.Rows {
		a := l.accounts[r.Organisation]
		if a.unsure != nil && a.unsure.version == r.Version {
			r.granted = r.granted.Min(a.unsure.granted)
		}
		a.unsure = &unsureWrite{r.Version, r.granted}
		a.granted = a.granted.Min(r.granted)
	}
}

// ReadDue reports whether the rows have to be read again, because an organisation waits for room that other pools may
// have given back.
func (l *Ledger) ReadDue(now time.Time) bool {
	if !l.loaded || l.superseded || now.Before(l.nextReadAt) {
		return false
	}
	for _, a := range l.accounts {
		if a.bound && (a.atLimit || a.exceedsLimit()) {
			l.nextReadAt = now.Add(readInterval)
			return true
		}
	}
	return false
}

// Usage is what the ledger knows of an organisation, for operators.
type Usage struct {
	Organisation string
	// Used is what may run in the pool, Granted what the pool may have running, Total what all pools may have, and
	// Limit the limits that can bind.
	Used, Granted, Total, Limit resource.Amount
	// Wanted is the number of runs that lacked room in the last round, and AtLimit whether the limit is the reason.
	Wanted  int
	AtLimit bool
}

// Usages returns the bound organisations that run or wait for something, sorted by name.
func (l *Ledger) Usages() []Usage {
	var usages []Usage
	for _, name := range l.names {
		a := l.accounts[name]
		if !a.bound || (a.used == resource.Amount{} && len(a.wanted) == 0) {
			continue
		}
		u := Usage{name, a.used, a.granted, a.total, a.limit, 0, a.atLimit}
		for _, w := range a.wanted {
			u.Wanted += w.count
		}
		usages = append(usages, u)
	}
	return usages
}

// Headroom returns what the organisation could have running in the pool at most, given what other pools have been
// granted, and false if it is not bound. Zero means that a resource is not limited; a limit that is used up is one.
func (l *Ledger) Headroom(organisation string) (resource.Amount, bool) {
	a := l.accounts[organisation]
	if a == nil || !a.bound {
		return resource.Amount{}, false
	}
	others := a.total.Sub(a.own.Granted)
	return a.limit.Sub(others).Max(a.used).Max(resource.Amount{MilliCores: 1, MemoryMB: 1, Accelerators: 1}).LimitedBy(a.limit), true
}
