package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"siskincross/core/work"
)

// Timings holds the figures that decide. Zero fields have the values of withDefaults.
type Timings struct {
	// MoveDuration and MaintenanceDuration are how long a host is away.
	MoveTime        time.Duration
	MaintenanceTime time.Duration
}

const (
	// defaultAway is the platform's usual time for a move or a maintenance.
	defaultAway = 2 * time.Second
	// joinTime is how long a host that is up again may take to appear in the directory of workers.
	joinTime = time.Second
	// retryAfter is the time between the answer to an order and the next try.
	retryAfter = 400 * time.Millisecond
	// answerTime is how long an order may be on its way before it is repeated: more than a call of the platform takes to time out.
	answerTime = 1500 * time.Millisecond
	// waveHaste is the part of a wave's time in which it should be over, so that a disruption near its end delays none.
	waveHaste = 0.7
	// wavePace is the part of the hosts that a wave allows to be down at once which is counted on when the wave is left to wait.
	wavePace = 0.5
	// withdrawnShare is the part of a busy pool's workers that may be withdrawn for maintenance at once.
	withdrawnShare = 0.2
)

func (p Timings) withDefaults() Timings {
	p.MoveTime = cmp.Or(p.MoveTime, defaultAway)
	p.MaintenanceTime = cmp.Or(p.MaintenanceTime, defaultAway)
	return p
}

// Planner plans for all hosts. Its owner calls it from one goroutine. A zero Planner works.
type Planner struct {
	Timings Timings
	// NoSwitchOffBefore is the time before which no host is switched off: a new holder has not heard from all pools yet.
	NoSwitchOffBefore time.Time

	machines map[string]*machine
	byWorker map[string]*machine
	needs    map[string]PoolReport
	pools    map[string]work.Pool
	waves    []*wave
	// inherited holds orders of an earlier holder that may be under way, and until when their hosts get no other.
	inherited map[string]inheritance
	// shortSince is since when pools have asked for more hosts than there are; the zero time while they don't.
	shortSince time.Time
	// impossible holds the moves that the platform said can't be, by a host's kind and pool.
	impossible map[[2]string]bool
}

// machine is a host with what was ordered of it.
type machine struct {
	Machine
	// order is the last order that may not be over yet, if ordered is true.
	order   Order
	ordered bool
	at      time.Time
	// confirmed is true once the platform said that the order was carried out, unsure once a try of it got no answer.
	confirmed, unsure bool
	// retry is when the host may get its next order.
	retry time.Time
	// unwanted is since when nobody asks for the cleared host; the zero time while it is in use.
	unwanted time.Time
	// recalled hosts are to be cleared for another pool's urgent need.
	recalled bool
	// worker is the host's worker when the order was given.
	worker string
}

// inheritance is an order of an earlier holder.
type inheritance struct {
	order Order
	// given is the latest time at which the order can have been given.
	given, until time.Time
}

// wave is a maintenance wave with its progress.
type wave struct {
	work.MaintenanceWave
	began time.Time
	done  map[string]bool
	// withdrawn holds the hosts whose workers are to be cleared.
	withdrawn map[string]bool
}

// Plan is what to do now.
type Plan struct {
	// Drain holds the workers that their pools are asked to clear.
	Drain  []string
	Orders []Order
	// CompletedWaves holds the names of the waves of which every host has begun its maintenance.
	CompletedWaves []string
	// Shortage is true while pools have asked for more hosts than there are for some time.
	Shortage bool
}

func (p *Planner) init() {
	if p.machines == nil {
		p.machines = make(map[string]*machine)
		p.needs = make(map[string]PoolReport)
		p.impossible = make(map[[2]string]bool)
		p.inherited = make(map[string]inheritance)
	}
}

// SetPools replaces the pools of the configuration.
func (p *Planner) SetPools(pools map[string]work.Pool) { p.pools = pools }

// SetPoolReport takes in what a pool's duty holder says.
func (p *Planner) SetPoolReport(pool string, n PoolReport) {
	p.init()
	p.needs[pool] = n
}

// RecordPriorOrder takes in an order that an earlier holder may have given up to a moment. Its host gets no other until the time, and
// counts as away like after one of our own. Of several for one host the last one counts.
func (p *Planner) RecordPriorOrder(o Order, given, until time.Time) {
	p.init()
	next := inheritance{order: o, given: given, until: until}
	known, ok := p.inherited[o.Host]
	m := p.machines[o.Host]
	if m != nil && m.ordered {
		known, ok = inheritance{order: m.order, given: m.at}, true
	}
	if ok && !next.follows(known) {
		return
	}
	p.inherited[o.Host] = next
	if m != nil {
		p.heir(m)
	}
}

// follows reports whether the order counts instead of another one for the same host: the later one does. Of two that may have been
// given at the same moment a maintenance counts, since the wave's bound allows no guess.
func (i inheritance) follows(other inheritance) bool {
	if !i.given.Equal(other.given) {
		return i.given.After(other.given)
	}
	return i.order.Kind == KindMaintain
}

func (p *Planner) heir(m *machine) {
	i, ok := p.inherited[m.Host]
	if !ok {
		return
	}
	delete(p.inherited, m.Host)
	m.order, m.ordered, m.confirmed, m.at, m.worker, m.retry = i.order, true, true, i.given, "", i.until
}

// AddWave takes in a wave, of which some hosts may have been maintained under an earlier holder.
func (p *Planner) AddWave(w work.MaintenanceWave, done []string, now time.Time) {
	p.init()
	for _, known := range p.waves {
		if known.Name == w.Name {
			return
		}
	}
	next := &wave{MaintenanceWave: w, began: now, done: make(map[string]bool), withdrawn: make(map[string]bool)}
	for _, host := range done {
		next.done[host] = true
	}
	p.waves = append(p.waves, next)
}

// StartedHosts returns the hosts of a wave that have begun their maintenance.
func (p *Planner) StartedHosts(name string) []string {
	for _, w := range p.waves {
		if w.Name == name {
			return slices.Sorted(maps.Keys(w.done))
		}
	}
	return nil
}

// SetMachines replaces the list of hosts.
func (p *Planner) SetMachines(list []Machine, now time.Time) {
	p.init()
	present := make(map[string]bool, len(list))
	p.byWorker = make(map[string]*machine, len(list))
	for _, m := range list {
		present[m.Host] = true
		known := p.machines[m.Host]
		if known == nil {
			known = &machine{}
			p.machines[m.Host] = known
		}
		known.Machine = m
		p.heir(known)
		if m.Worker != "" {
			p.byWorker[m.Worker] = known
		}
		known.settle(p.Timings.withDefaults(), p.pools[m.Pool].Standby, now)
	}
	for host := range p.machines {
		if !present[host] {
			delete(p.machines, host)
		}
	}
}

// settle ends an order whose host is back.
func (m *machine) settle(policy Timings, standby bool, now time.Time) {
	if !m.ordered || !m.confirmed {
		return
	}
	away := policy.MoveTime
	if m.order.Kind == KindMaintain {
		away = policy.MaintenanceTime
	}
	if m.State == StateDown && now.Sub(m.at) > away+expectTime {
		m.ordered = false // it was lost for another cause
	}
	if m.State != StateUp {
		return
	}
	if now.Sub(m.at) < away || (m.Worker != "" && m.Worker == m.worker) {
		return
	}
	if standby || now.Sub(m.at) >= away+joinTime || m.Worker != "" {
		m.ordered = false
	}
}

// backSlack is what a host may need beyond the platform's time before it is up again.
const backSlack = 50 * time.Millisecond

// assumeBack ends the moves of hosts that were switched off, once their time is over. No worker tells of them, and the next list
// comes later. An order for a host that is not up yet is refused and tried again. Maintenance waits for the list: the
// wave's bound on hosts that are down allows no guess.
func (p *Planner) assumeBack(now time.Time) {
	away := p.Timings.withDefaults().MoveTime
	for _, m := range p.machines {
		moved := m.ordered && m.confirmed && m.order.Kind == KindMove && p.pools[m.order.Pool].Standby
		if moved && m.State != StateDown && now.Sub(m.at) >= away+backSlack {
			m.ordered, m.State, m.Pool, m.Worker = false, StateUp, m.order.Pool, ""
		}
	}
}

// Plan decides. Orders that it returns count as given.
func (p *Planner) Plan(now time.Time) Plan {
	p.init()
	p.assumeBack(now)
	var plan Plan
	for _, w := range p.waves {
		p.planWave(w, &plan, now)
	}
	p.planMoves(&plan, now)
	p.recall(&plan, now)
	p.retryOrders(&plan, now)
	plan.Shortage = p.short(now)
	slices.Sort(plan.Drain)
	plan.Drain = slices.Compact(plan.Drain)
	return plan
}

// shortAfter is how long pools must have missed hosts before all are told to make do with fewer.
const shortAfter = 300 * time.Millisecond

// short reports whether pools have asked for more hosts than there are for some time. Hosts on their way are not missed.
func (p *Planner) short(now time.Time) bool {
	if p.idleHosts(now) >= 0 {
		p.shortSince = time.Time{}
		return false
	}
	if p.shortSince.IsZero() {
		p.shortSince = now
	}
	return now.Sub(p.shortSince) >= shortAfter
}

func (p *Planner) hosts() []*machine {
	return slices.SortedFunc(maps.Values(p.machines), func(a, b *machine) int { return cmp.Compare(a.Host, b.Host) })
}

// free reports whether a host can get an order.
func (m *machine) free(now time.Time) bool {
	return !m.ordered && m.State == StateUp && !now.Before(m.retry)
}

func (p *Planner) give(m *machine, o Order, plan *Plan, now time.Time) {
	m.order, m.ordered, m.confirmed, m.unsure, m.at, m.worker = o, true, false, false, now, m.Worker
	m.retry = now.Add(answerTime)
	plan.Orders = append(plan.Orders, o)
}

// RecordOutcome takes in how an order ended.
func (p *Planner) RecordOutcome(o Order, outcome Outcome, now time.Time) {
	m := p.machines[o.Host]
	if m == nil || !m.ordered || m.order != o {
		return
	}
	m.retry = now.Add(retryAfter)
	switch outcome {
	case OutcomeDone:
		m.confirmed = true
		m.at = now
		p.began(o)
	case OutcomeRefused:
		// A host that is busy with an earlier try of the order refuses the next one.
		m.ordered = m.unsure
	case OutcomeUnknown:
		m.unsure = true
	case OutcomeImpossible:
		m.ordered = false
		if o.Kind == KindMove {
			p.impossible[[2]string{m.kind(), o.Pool}] = true
		} else {
			p.began(o)
		}
	}
}

// began notes that a host's maintenance began, or never will.
func (p *Planner) began(o Order) {
	if o.Kind != KindMaintain {
		return
	}
	for _, w := range p.waves {
		if w.Number == o.Wave {
			w.done[o.Host] = true
			delete(w.withdrawn, o.Host)
		}
	}
}

// kind is the label that tells hosts of different kinds apart.
func (m *machine) kind() string {
	if len(m.Labels) == 0 {
		return ""
	}
	return m.Labels[0]
}

// retryOrders repeats the orders whose answers were lost.
func (p *Planner) retryOrders(plan *Plan, now time.Time) {
	for _, m := range p.hosts() {
		if m.ordered && !m.confirmed && !now.Before(m.retry) {
			m.retry = now.Add(answerTime)
			plan.Orders = append(plan.Orders, m.order)
		}
	}
}

// HasPendingOrders reports whether any order is not over yet.
func (p *Planner) HasPendingOrders() bool {
	for _, m := range p.machines {
		if m.ordered {
			return true
		}
	}
	return false
}
