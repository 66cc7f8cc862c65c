package capacity

import "time"

// issue adds an order to the plan and records it as the order of the host.
func (p *Planner) issue(m *machine, o Order, plan *Plan, now time.Time) {
	m.order, m.hasOrder, m.confirmed, m.outcomeUnknown, m.orderedAt, m.orderedWorker = o, true, false, false, now, m.Worker
	m.nextOrderAt = now.Add(orderTimeout)
	m.attemptsInFlight = 1
	plan.Orders = append(plan.Orders, o)
}

// RecordOutcome records the outcome of an attempt of an order. Outcomes of orders that are no longer current
// are ignored.
func (p *Planner) RecordOutcome(o Order, outcome Outcome, now time.Time) {
	m := p.machines[o.Host]
	if m == nil || !m.hasOrder || m.order != o {
		return
	}
	m.nextOrderAt = now.Add(retryDelay)
	m.attemptsInFlight = max(0, m.attemptsInFlight-1)
	switch outcome {
	case OutcomeDone:
		m.confirmed = true
		m.orderedAt = now
		p.markStarted(o)
	case OutcomeRefused:
		// A host that is carrying out one attempt refuses the others, so that the order may be in progress.
		m.hasOrder = m.confirmed || m.outcomeUnknown || m.attemptsInFlight > 0
	case OutcomeUnknown:
		m.outcomeUnknown = true
	case OutcomeImpossible:
		m.hasOrder = false
		if o.Kind == KindMove {
			p.impossible[[2]string{m.hardwareKind(), o.Pool}] = true
		} else {
			p.markStarted(o)
		}
	}
}

// markStarted records that the maintenance of a host has started, or that it is impossible.
func (p *Planner) markStarted(o Order) {
	if o.Kind != KindMaintain {
		return
	}
	for _, w := range p.waves {
		if w.Number == o.Wave {
			w.started[o.Host] = true
			delete(w.withdrawn, o.Host)
		}
	}
}

// retryOrders repeats the orders that have not been confirmed, while they interrupt no work. A worker whose host may still
// carry out an order stays withdrawn.
func (p *Planner) retryOrders(plan *Plan, now time.Time) {
	for _, m := range p.sortedHosts() {
		if !m.hasOrder || m.confirmed {
			continue
		}
		restarted := m.Worker != m.orderedWorker
		if m.Worker != "" && !restarted && now.Sub(m.orderedAt) >= retryDelay {
			plan.Withdraw = append(plan.Withdraw, m.Worker)
		}
		interruptsNoWork := restarted || p.evacuated(m)
		if now.Before(m.nextOrderAt) || !interruptsNoWork {
			continue
		}
		m.nextOrderAt = now.Add(orderTimeout)
		m.attemptsInFlight++
		plan.Orders = append(plan.Orders, m.order)
	}
}

// HasPendingOrders reports whether any order is still in progress.
func (p *Planner) HasPendingOrders() bool {
	for _, m := range p.machines {
		if m.hasOrder {
			return true
		}
	}
	return false
}
