package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// planWave orders the maintenance of cleared hosts and withdraws the next ones.
func (p *Planner) planWave(w *wave, plan *Plan, now time.Time) {
	left, away := p.remaining(w)
	if len(left) == 0 && (away == 0 || p.allBegan(w)) && len(p.machines) > 0 {
		plan.CompletedWaves = append(plan.CompletedWaves, w.Name)
		return
	}
	idle := p.idleHosts(now)
	pressed := p.pressed(w, len(left), now)
	for _, m := range left {
		if away >= w.MaxConcurrent || !m.free(now) || !p.cleared(m) {
			continue
		}
		if p.pools[m.Pool].Standby && !pressed {
			if idle <= 0 {
				continue
			}
			idle--
		}
		p.give(m, Order{Kind: KindMaintain, Host: m.Host, Wave: w.Number}, plan, now)
		away++
	}
	p.withdraw(w, left, away, pressed || idle > 0, plan, now)
}

// remaining returns the hosts of a wave that have not begun their maintenance, and how many are away for it.
func (p *Planner) remaining(w *wave) (left []*machine, away int) {
	for _, host := range w.Hosts {
		m := p.machines[host]
		switch {
		case m != nil && m.ordered && m.order.Kind == KindMaintain && m.order.Wave == w.Number:
			away++
		case w.done[host]:
		case m == nil: // it was taken away
		default:
			left = append(left, m)
		}
	}
	return left, away
}

// idleHosts is how many hosts that are switched off nobody asks for; negative if pools ask for more hosts than there are.
func (p *Planner) idleHosts(now time.Time) int {
	idle := 0
	for _, a := range p.asks(now) {
		idle -= a.total
	}
	for _, m := range p.machines {
		if p.pools[m.Pool].Standby && m.free(now) && !p.waits(m) {
			idle++
		}
	}
	return idle
}

// clearTime is about how long it takes to clear a worker for its host's maintenance.
const clearTime = time.Second

// pressed reports whether a wave must go on although pools miss hosts: at half of the pace that it allows, the hosts that are left would
// otherwise not all be maintained in time.
func (p *Planner) pressed(w *wave, left int, now time.Time) bool {
	each := p.Timings.withDefaults().MaintenanceTime + clearTime
	rounds := math.Ceil(float64(left) / max(1, float64(w.MaxConcurrent)*wavePace))
	return now.Sub(w.began)+time.Duration(rounds*float64(each)) >= time.Duration(float64(w.StartWithin)*waveHaste)
}

// allBegan reports whether every host that stays has begun its maintenance.
func (p *Planner) allBegan(w *wave) bool {
	for _, host := range w.Hosts {
		if p.machines[host] != nil && !w.done[host] {
			return false
		}
	}
	return true
}

// cleared reports whether an order for the host ends no work.
func (p *Planner) cleared(m *machine) bool {
	if p.pools[m.Pool].Standby || m.Worker == "" {
		return true
	}
	return slices.Contains(p.needs[m.Pool].Drained, m.Worker)
}

// withdraw asks pools to clear the workers of the next hosts, if more may be withdrawn: as many as the wave allows at once, from pools
// that can do without them first.
func (p *Planner) withdraw(w *wave, left []*machine, away int, more bool, plan *Plan, now time.Time) {
	open := p.outOfService(w, left)
	asked := 0
	for _, m := range left {
		if w.withdrawn[m.Host] && !m.ordered {
			asked++
		}
	}
	slices.SortStableFunc(left, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(p.strain(a), p.strain(b)), cmp.Compare(open[a.Pool], open[b.Pool]))
	})
	late := now.Sub(w.began) > time.Duration(float64(w.StartWithin)*waveHaste)
	sizes := p.sizes()
	for _, m := range left {
		if !more || w.withdrawn[m.Host] || m.ordered || away+asked >= w.MaxConcurrent || p.pools[m.Pool].Standby {
			continue
		}
		if late || open[m.Pool] < p.withdrawable(m.Pool, sizes[m.Pool]) {
			w.withdrawn[m.Host] = true
			asked++
			open[m.Pool]++
		}
	}
	for _, m := range left {
		if w.withdrawn[m.Host] && m.Worker != "" && !m.ordered {
			plan.Drain = append(plan.Drain, m.Worker)
		}
	}
}

// outOfService counts by pool the hosts that are withdrawn for the wave or have an order.
func (p *Planner) outOfService(w *wave, left []*machine) map[string]int {
	open := make(map[string]int)
	for _, m := range left {
		if w.withdrawn[m.Host] && !m.ordered {
			open[m.Pool]++
		}
	}
	for _, m := range p.machines {
		if m.ordered {
			open[m.Pool]++
		}
	}
	return open
}

// withdrawable is how many hosts of a pool may be out of service at once while there is time.
func (p *Planner) withdrawable(pool string, size int) int {
	return max(1, int(withdrawnShare*float64(size)), p.needs[pool].Spare)
}

// strain orders hosts by how much their pools miss them.
func (p *Planner) strain(m *machine) int {
	n := p.needs[m.Pool]
	switch {
	case n.Spare > 0:
		return 0
	case n.Requested == 0:
		return 1
	}
	return 2
}
