package quota

import (
	"time"

	"siskincross/core/organisation"
	"siskincross/core/resource"
)

const (
	// bindingFactor is the ratio of a limit to what all listed workers offer from which the limit can't bind. It leaves
	// room for workers that are added.
	bindingFactor = 1.5
	// registrationDelay is the time for which an organisation that becomes bound gets no new room, so that all pools
	// have claimed their running work before.
	registrationDelay = time.Second
	// withdrawalDelay is the time after which the grants of an organisation that is no longer bound are given back.
	withdrawalDelay = 3 * time.Second
)

// offerWindow is half the time for which workers count as offered after they were last listed. Workers that are moved or
// maintained are missing from the directory meanwhile.
const offerWindow = 20 * time.Second

// SetLimits sets the limits of the configuration and what the listed workers of all pools offer together. An organisation
// that the configuration no longer has keeps its last limit while its jobs run. If known is false, every limit is taken as
// binding.
func (l *Ledger) SetLimits(organisations organisation.Directory, offered resource.Amount, known bool, now time.Time) {
	if known {
		l.offered.add(offered, offerWindow, now)
	}
	for _, name := range organisations.Names() {
		if o, _ := organisations.Find(name); o.Limit != (resource.Amount{}) {
			l.account(name)
		}
	}
	for name, a := range l.accounts {
		limit := a.configured
		if o, ok := organisations.Find(name); ok {
			limit = o.Limit.Max(resource.Amount{})
		}
		binding := bindingLimit(limit, l.offered.highest(), known)
		a.bind(binding, a.configured != limit, now)
		a.configured = limit
	}
}

// bindingLimit returns the limits that can bind.
func bindingLimit(limit, offered resource.Amount, known bool) resource.Amount {
	if !known {
		return limit
	}
	return resource.Amount{
		MilliCores:   bindingAmount(limit.MilliCores, offered.MilliCores),
		MemoryMB:     bindingAmount(limit.MemoryMB, offered.MemoryMB),
		Accelerators: bindingAmount(limit.Accelerators, offered.Accelerators),
	}
}

func bindingAmount(limit, offered int) int {
	if float64(limit) >= bindingFactor*float64(offered) {
		return 0
	}
	return limit
}

// bind sets the limits that can bind. If the configuration has not changed, limits are only new because more workers are
// listed; they can't be reached before all pools have claimed their running work, and are enforced only then.
func (a *account) bind(limit resource.Amount, configured bool, now time.Time) {
	if limit == a.limit && !configured {
		return
	}
	added := limit.LimitedBy(a.limit) != limit
	lowered := !limit.Covers(a.limit.LimitedBy(limit))
	first := !a.bound && a.unboundAt.IsZero()
	a.limit, a.bound = limit, limit != resource.Amount{}
	switch {
	case a.bound:
		a.unboundAt = time.Time{}
	case a.unboundAt.IsZero():
		a.unboundAt = now
	}
	if added && !first {
		a.claimsFrom = now.Add(registrationDelay)
	}
	if configured || first {
		a.enforced = limit
		a.unverified = a.unverified || (!first && (added || lowered))
		return
	}
	a.enforced = limit.LimitedBy(a.enforced)
}

// enforce puts the limits into force that were only claimed for until now.
func (a *account) enforce(now time.Time) {
	if !now.Before(a.claimsFrom) {
		a.enforced = a.limit
	}
}
