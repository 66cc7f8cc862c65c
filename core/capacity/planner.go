package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"siskincross/core/work"
)

// Timings holds the durations of the platform's operations. Zero fields have default values.
type Timings struct {
	// MoveDuration and MaintenanceDuration are how long a host is down for a move or a maintenance.
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
}

const (
	// defaultDowntime is the usual duration of a move or a maintenance on the platform.
	defaultDowntime = 2 * time.Second
	// registrationTime is how long the worker of a restarted host may take to appear in the directory of
	// workers.
	registrationTime = time.Second
	// retryDelay is the delay between the answer to an order and the next attempt.
	retryDelay = 400 * time.Millisecond
	// orderTimeout is the time after which an unanswered order is repeated. The call of the first attempt may still
	// be waiting for its answer.
	orderTimeout = 1500 * time.Millisecond
	// waveTargetShare is the fraction of a wave's time limit in which the wave should be complete, so that a
	// disruption near the end does not make it late.
	waveTargetShare = 0.7
	// wavePaceShare is the fraction of the wave's allowed concurrency that is assumed when deciding whether the
	// wave can still wait.
	wavePaceShare = 0.5
	// withdrawnShare is the fraction of a busy pool's workers that may be withdrawn for maintenance at the same
	// time.
	withdrawnShare = 0.2
)

// withDefaults returns the timings with defaultDowntime for fields that are zero.
func (t Timings) withDefaults() Timings {
	t.MoveDuration = cmp.Or(t.MoveDuration, defaultDowntime)
	t.MaintenanceDuration = cmp.Or(t.MaintenanceDuration, defaultDowntime)
	return t
}

// Planner plans the moves and the maintenance of all hosts. It is not safe for concurrent use. The zero value
// is ready to use.
type Planner struct {
	Timings Timings
	// NoSwitchOffBefore is the time before which no host is switched off, because a new holder does not have
	// the reports of all pools yet.
	NoSwitchOffBefore time.Time

	machines map[string]*machine
	byWorker map[string]*machine
	reports  map[string]PoolReport
	pools    map[string]work.Pool
	waves    []*wave
	// priorOrders holds, by host, the orders of an earlier holder that may still be in progress.
	priorOrders map[string]priorOrder
	// shortageSince is the time since which pools have requested more hosts than are available; zero if there
	// is no shortage.
	shortageSince time.Time
	// impossible holds the moves that the platform rejected as impossible, by the hardware kind of the host and
	// the pool.
	impossible map[[2]string]bool
}

// machine is a host with its latest order.
type machine struct {
	Machine
	// order is the latest order. It may still be in progress if hasOrder is set.
	order     Order
	hasOrder  bool
	orderedAt time.Time
	// confirmed is set once the platform confirmed that the order was carried out, and outcomeUnknown once an
	// attempt got no answer.
	confirmed, outcomeUnknown bool
	// attemptsInFlight counts the attempts of the order that have no outcome yet.
	attemptsInFlight int
	// nextOrderAt is the earliest time of the next order for the host, or of the next attempt of the current
	// one.
	nextOrderAt time.Time
	// idleSince is the time since which no pool has requested the evacuated host; zero while the host is in
	// use.
	idleSince time.Time
	// recalled hosts are to be evacuated for an urgent request of another pool.
	recalled bool
	// orderedWorker is the worker of the host when the order was issued.
	orderedWorker string
}

// priorOrder is an order that an earlier holder may have issued.
type priorOrder struct {
	order Order
	// issuedBy is the latest time at which the order can have been issued. The host gets no other order before
	// until.
	issuedBy, until time.Time
}

// wave is a maintenance wave with its progress.
type wave struct {
	work.MaintenanceWave
	// addedAt is when the wave was added to this planner.
	addedAt time.Time
	// started holds the hosts whose maintenance has started.
	started map[string]bool
	// withdrawn holds the hosts whose workers are to be evacuated.
	withdrawn map[string]bool
}

// Plan is the result of one round of planning.
type Plan struct {
	// Withdraw holds the workers that their pools are asked to evacuate.
	Withdraw []string
	Orders   []Order
	// CompletedWaves holds the names of the waves in which the maintenance of every host has started.
	CompletedWaves []string
	// Shortage is set when pools have requested more hosts than are available for at least shortageDelay.
	Shortage bool
}

// init makes the zero value ready to use.
func (p *Planner) init() {
	if p.machines == nil {
		p.machines = make(map[string]*machine)
		p.reports = make(map[string]PoolReport)
		p.impossible = make(map[[2]string]bool)
		p.priorOrders = make(map[string]priorOrder)
	}
}

// SetPools replaces the configured pools.
func (p *Planner) SetPools(pools map[string]work.Pool) { p.pools = pools }

// SetPoolReport replaces the report of a pool's duty holder.
func (p *Planner) SetPoolReport(pool string, r PoolReport) {
	p.init()
	p.reports[pool] = r
}

// RecordPriorOrder records an order that an earlier holder may have issued, no later than issuedBy. The host
// gets no other order before until and counts as down, as after an order of this planner. If a host has several
// orders, the latest is kept.
func (p *Planner) RecordPriorOrder(o Order, issuedBy, until time.Time) {
	p.init()
	next := priorOrder{order: o, issuedBy: issuedBy, until: until}
	known, ok := p.priorOrders[o.Host]
	m := p.machines[o.Host]
	if m != nil && m.hasOrder {
		known, ok = priorOrder{order: m.order, issuedBy: m.orderedAt}, true
	}
	if ok && !next.supersedes(known) {
		return
	}
	p.priorOrders[o.Host] = next
	if m != nil {
		p.applyPriorOrder(m)
	}
}

// supersedes reports whether the order replaces another one for the same host: the later order does. If both
// may have been issued at the same time, a maintenance replaces a move, because the wave's limit on concurrent
// downtime must hold in any case.
func (o priorOrder) supersedes(other priorOrder) bool {
	if !o.issuedBy.Equal(other.issuedBy) {
		return o.issuedBy.After(other.issuedBy)
	}
	return o.order.Kind == KindMaintain
}

// applyPriorOrder makes the prior order of a host its current order.
func (p *Planner) applyPriorOrder(m *machine) {
	prior, ok := p.priorOrders[m.Host]
	if !ok {
		return
	}
	delete(p.priorOrders, m.Host)
	m.order, m.hasOrder, m.confirmed, m.orderedAt, m.orderedWorker, m.nextOrderAt = prior.order, true, true, prior.issuedBy, "", prior.until
}

// AddWave adds a wave unless it is known already. The maintenance of the hosts in done was started by an
// earlier holder.
func (p *Planner) AddWave(w work.MaintenanceWave, done []string, now time.Time) {
	p.init()
	for _, known := range p.waves {
		if known.Name == w.Name {
			return
		}
	}
	next := &wave{MaintenanceWave: w, addedAt: now, started: make(map[string]bool), withdrawn: make(map[string]bool)}
	for _, host := range done {
		next.started[host] = true
	}
	p.waves = append(p.waves, next)
}

// StartedHosts returns the hosts of a wave whose maintenance has started, sorted.
func (p *Planner) StartedHosts(name string) []string {
	for _, w := range p.waves {
		if w.Name == name {
			return slices.Sorted(maps.Keys(w.started))
		}
	}
	return nil
}

// SetMachines replaces the platform's list of hosts.
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
		p.applyPriorOrder(known)
		if m.Worker != "" {
			p.byWorker[m.Worker] = known
		}
		known.completeOrder(p.Timings.withDefaults(), p.pools[m.Pool].Standby, now)
	}
	for host := range p.machines {
		if !present[host] {
			delete(p.machines, host)
		}
	}
}

// completeOrder completes a confirmed order once the host is back, or has been down for so long that the order
// can't be the cause.
func (m *machine) completeOrder(timings Timings, standby bool, now time.Time) {
	if !m.hasOrder || !m.confirmed {
		return
	}
	downtime := timings.MoveDuration
	if m.order.Kind == KindMaintain {
		downtime = timings.MaintenanceDuration
	}
	if m.State == StateDown && now.Sub(m.orderedAt) > downtime+arrivalSlack {
		m.hasOrder = false // the host is down for another reason
	}
	if m.State != StateUp {
		return
	}
	if now.Sub(m.orderedAt) < downtime || (m.Worker != "" && m.Worker == m.orderedWorker) {
		return
	}
	if standby || now.Sub(m.orderedAt) >= downtime+registrationTime || m.Worker != "" {
		m.hasOrder = false
	}
}

// moveSlack is the time beyond the move time of the platform that a host may need until it is up again.
const moveSlack = 50 * time.Millisecond

// completeStandbyMoves completes the moves to standby pools once their time has passed: no worker reports these
// hosts, and the next list of the platform arrives later. If the host is not up yet, the platform refuses its
// next order, which is then retried. Maintenance is completed only by the list, because the wave's limit on
// hosts that are down must hold in any case.
func (p *Planner) completeStandbyMoves(now time.Time) {
	downtime := p.Timings.withDefaults().MoveDuration
	for _, m := range p.machines {
		moved := m.hasOrder && m.confirmed && m.order.Kind == KindMove && p.pools[m.order.Pool].Standby
		if moved && m.State != StateDown && now.Sub(m.orderedAt) >= downtime+moveSlack {
			m.hasOrder, m.State, m.Pool, m.Worker = false, StateUp, m.order.Pool, ""
		}
	}
}

// Plan returns the plan for now. The planner assumes that the returned orders are issued.
func (p *Planner) Plan(now time.Time) Plan {
	p.init()
	p.completeStandbyMoves(now)
	var plan Plan
	for _, w := range p.waves {
		p.planWave(w, &plan, now)
	}
	p.planMoves(&plan, now)
	p.recallHosts(&plan, now)
	p.retryOrders(&plan, now)
	plan.Shortage = p.hasShortage(now)
	slices.Sort(plan.Withdraw)
	plan.Withdraw = slices.Compact(plan.Withdraw)
	return plan
}

// shortageDelay is how long a shortage must last until all pools are told to manage with fewer hosts.
const shortageDelay = 300 * time.Millisecond

// hasShortage reports whether pools have requested more hosts than are available for at least shortageDelay.
// Hosts that are moving to a pool count as available.
func (p *Planner) hasShortage(now time.Time) bool {
	if p.surplusHosts(now) >= 0 {
		p.shortageSince = time.Time{}
		return false
	}
	if p.shortageSince.IsZero() {
		p.shortageSince = now
	}
	return now.Sub(p.shortageSince) >= shortageDelay
}

// sortedHosts returns all hosts, sorted by name.
func (p *Planner) sortedHosts() []*machine {
	return slices.SortedFunc(maps.Values(p.machines), func(a, b *machine) int { return cmp.Compare(a.Host, b.Host) })
}

// available reports whether the host can get an order.
func (m *machine) available(now time.Time) bool {
	return !m.hasOrder && m.State == StateUp && !now.Before(m.nextOrderAt)
}

// hardwareKind returns the label that distinguishes kinds of hosts.
func (m *machine) hardwareKind() string {
	if len(m.Labels) == 0 {
		return ""
	}
	return m.Labels[0]
}
