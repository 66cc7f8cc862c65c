package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// planWave issues the maintenance of evacuated hosts and withdraws the workers of the next ones.
func (p *Planner) planWave(w *wave, plan *Plan, now time.Time) {
	pending, down := p.remaining(w)
	if len(pending) == 0 && (down == 0 || p.allStarted(w)) && len(p.machines) > 0 {
		plan.CompletedWaves = append(plan.CompletedWaves, w.Name)
		return
	}
	surplus := p.surplusHosts(now)
	proceed := p.mustProceed(w, len(pending), now)
	for _, m := range pending {
		if down >= w.MaxConcurrent || !m.available(now) || !p.evacuated(m) {
			continue
		}
		if p.pools[m.Pool].Standby && !proceed {
			if surplus <= 0 {
				continue
			}
			surplus--
		}
		p.issue(m, Order{Kind: KindMaintain, Host: m.Host, Wave: w.Number}, plan, now)
		down++
	}
	p.withdrawWorkers(w, pending, down, proceed || surplus > 0, plan, now)
}

// remaining returns the hosts of a wave whose maintenance has not started, and the number of hosts that have an
// order for it.
func (p *Planner) remaining(w *wave) (pending []*machine, down int) {
	for _, host := range w.Hosts {
		m := p.machines[host]
		switch {
		case m != nil && m.hasOrder && m.order.Kind == KindMaintain && m.order.Wave == w.Number:
			down++
		case w.started[host]:
		case m == nil: // the host was removed from the platform
		default:
			pending = append(pending, m)
		}
	}
	return pending, down
}

// surplusHosts returns the number of available standby hosts that no pool requests; it is negative if pools
// request more hosts than are available.
func (p *Planner) surplusHosts(now time.Time) int {
	surplus := 0
	for _, r := range p.unmetRequests(now) {
		surplus -= r.total
	}
	for _, m := range p.machines {
		if p.pools[m.Pool].Standby && m.available(now) && !p.awaitsMaintenance(m) {
			surplus++
		}
	}
	return surplus
}

// evacuationTime is the approximate time to evacuate a worker for the maintenance of its host.
const evacuationTime = time.Second

// mustProceed reports whether a wave must proceed during a shortage of hosts: at half of its allowed
// concurrency, the remaining hosts would otherwise not all be maintained in time.
func (p *Planner) mustProceed(w *wave, pending int, now time.Time) bool {
	perRound := p.Timings.withDefaults().MaintenanceDuration + evacuationTime
	rounds := math.Ceil(float64(pending) / max(1, float64(w.MaxConcurrent)*wavePaceShare))
	return now.Sub(w.addedAt)+time.Duration(rounds*float64(perRound)) >= time.Duration(float64(w.StartWithin)*waveTargetShare)
}

// allStarted reports whether the maintenance of every host that is still listed has started.
func (p *Planner) allStarted(w *wave) bool {
	for _, host := range w.Hosts {
		if p.machines[host] != nil && !w.started[host] {
			return false
		}
	}
	return true
}

// evacuated reports whether an order for the host interrupts no work.
func (p *Planner) evacuated(m *machine) bool {
	if p.pools[m.Pool].Standby || m.Worker == "" {
		return true
	}
	return slices.Contains(p.reports[m.Pool].Evacuated, m.Worker)
}

// withdrawWorkers asks pools to evacuate the workers of the next hosts, if more may be withdrawn: as many as
// the wave allows at the same time, from pools with spare workers first.
func (p *Planner) withdrawWorkers(w *wave, pending []*machine, down int, allowMore bool, plan *Plan, now time.Time) {
	unavailable := p.outOfService(w, pending)
	withdrawing := 0
	for _, m := range pending {
		if w.withdrawn[m.Host] && !m.hasOrder {
			withdrawing++
		}
	}
	slices.SortStableFunc(pending, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(p.withdrawalRank(a), p.withdrawalRank(b)), cmp.Compare(unavailable[a.Pool], unavailable[b.Pool]))
	})
	late := now.Sub(w.addedAt) > time.Duration(float64(w.StartWithin)*waveTargetShare)
	sizes := p.poolSizes()
	for _, m := range pending {
		if !allowMore || w.withdrawn[m.Host] || m.hasOrder || down+withdrawing >= w.MaxConcurrent || p.pools[m.Pool].Standby {
			continue
		}
		if late || unavailable[m.Pool] < p.maxWithdrawn(m.Pool, sizes[m.Pool]) {
			w.withdrawn[m.Host] = true
			withdrawing++
			unavailable[m.Pool]++
		}
	}
	for _, m := range pending {
		if w.withdrawn[m.Host] && m.Worker != "" && !m.hasOrder {
			plan.Withdraw = append(plan.Withdraw, m.Worker)
		}
	}
}

// outOfService returns, by pool, the number of hosts that are withdrawn for the wave or have an order.
func (p *Planner) outOfService(w *wave, pending []*machine) map[string]int {
	unavailable := make(map[string]int)
	for _, m := range pending {
		if w.withdrawn[m.Host] && !m.hasOrder {
			unavailable[m.Pool]++
		}
	}
	for _, m := range p.machines {
		if m.hasOrder {
			unavailable[m.Pool]++
		}
	}
	return unavailable
}

// maxWithdrawn returns how many hosts of a pool may be out of service at the same time while the wave is not
// late.
func (p *Planner) maxWithdrawn(pool string, size int) int {
	return max(1, int(withdrawnShare*float64(size)), p.reports[pool].Spare)
}

// withdrawalRank returns a rank that is higher the more the pool needs the host: hosts of a lower rank are
// withdrawn first.
func (p *Planner) withdrawalRank(m *machine) int {
	r := p.reports[m.Pool]
	switch {
	case r.Spare > 0:
		return 0
	case r.Requested == 0:
		return 1
	}
	return 2
}
