package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"siskincross/core/organisation"
	"siskincross/core/quota"
	"siskincross/core/resource"
)

const (
	modelOrganisation = "o"
	modelStep         = 10 * time.Millisecond
	// modelAdoption is the longest time until a holder that acts has adopted a limit, and modelInForce the time for which
	// an earlier limit counts.
	modelAdoption = 1500 * time.Millisecond
	modelInForce  = 3 * time.Second
)

// modelRun is a run on an incarnation, or an order to start one that is still on its way.
type modelRun struct {
	demand  resource.Amount
	epoch   uint64
	host    *modelIncarnation
	started bool
	// permitted is the limit at the time of the order, which counts for an order that is carried out late.
	permitted resource.Amount
	// ended is true once the run has ended or can't start any more.
	ended bool
}

// modelIncarnation is one incarnation of a worker.
type modelIncarnation struct {
	epoch uint64
	runs  []*modelRun
}

// modelHolder is a holder of a pool's duty, which may have a successor that it does not know of.
type modelHolder struct {
	ledger      quota.Ledger
	pool        *modelPool
	pausedUntil time.Time
	// limit is the index of the adopted limit.
	limit      int
	unresolved map[*modelIncarnation]bool
	// known holds the runs that the holder has charged for.
	known map[*modelRun]bool
	// inFlight is true while a call has no result yet, and over once the holder knows that it has a successor.
	inFlight, over bool
}

type modelPool struct {
	name         string
	incarnations []*modelIncarnation
	holders      []*modelHolder
}

// model is a store and several pools, with faults drawn from a seeded source.
type model struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	version uint64
	row     quota.VersionedRow
	calls   []*modelCall
	pools   []*modelPool
	// limits holds the limits in the order of their versions, and changedAt when each came into force.
	limits    []resource.Amount
	changedAt []time.Time
	starts    int
}

func (m *model) chance(one int) bool { return m.rand.IntN(one) == 0 }

// commit stores a write if the row has the expected version.
func (m *model) commit(w quota.Write) bool {
	for _, r := range w.Rows {
		if r.Version != m.row.Version {
			return false
		}
		m.version++
		m.row = quota.VersionedRow{Row: r.Row, Version: m.version}
	}
	return true
}

// permitted returns the highest limit that may be in force.
func (m *model) permitted() resource.Amount {
	highest := m.limits[len(m.limits)-1]
	for i := range m.limits[:len(m.limits)-1] {
		if m.now.Sub(m.changedAt[i+1]) <= modelInForce {
			highest = highest.Max(m.limits[i])
		}
	}
	return highest
}

func (m *model) running() resource.Amount {
	var sum resource.Amount
	for _, p := range m.pools {
		for _, inc := range p.incarnations {
			for _, r := range inc.runs {
				if r.started && !r.ended {
					sum = sum.Add(r.demand)
				}
			}
		}
	}
	return sum
}

// takeOver gives a pool's duty to a new holder. The earlier one may act on.
func (m *model) takeOver(p *modelPool) {
	m.version++
	h := &modelHolder{pool: p, known: make(map[*modelRun]bool), unresolved: make(map[*modelIncarnation]bool)}
	h.ledger = quota.Ledger{Pool: p.name, Epoch: m.version}
	for _, inc := range p.incarnations {
		h.unresolved[inc] = true
	}
	m.adoptLimit(h)
	h.ledger.Load(map[string]quota.VersionedRow{modelOrganisation: m.row})
	for _, earlier := range p.holders {
		earlier.pausedUntil = m.now.Add(time.Duration(m.rand.IntN(2000)) * time.Millisecond)
	}
	p.holders = append(p.holders, h)
}

func (m *model) adoptLimit(h *modelHolder) {
	h.limit = len(m.limits) - 1
	directory := organisation.NewDirectory([]organisation.Organisation{{Name: modelOrganisation, Limit: m.limits[len(m.limits)-1]}})
	h.ledger.SetLimits(directory, resource.Amount{}, false, m.now)
}

// act lets a holder do what it does in a round.
func (m *model) act(h *modelHolder) {
	if next := h.limit + 1; next < len(m.limits) && (m.now.Sub(m.changedAt[next]) > modelAdoption || m.chance(50)) {
		m.adoptLimit(h)
	}
	h.ledger.BeginRound(m.now)
	h.ledger.SetUnresolved(len(h.unresolved) > 0)
	for _, inc := range h.pool.incarnations {
		if m.chance(4) {
			m.report(h, inc)
		}
	}
	for range m.rand.IntN(4) {
		m.tryStart(h)
	}
	m.call(h)
	h.over = h.over || h.ledger.Superseded()
}

// report lets an incarnation answer a holder: it is fenced for earlier ones, and the holder learns of its runs.
func (m *model) report(h *modelHolder, inc *modelIncarnation) {
	if inc.epoch > h.ledger.Epoch {
		h.over = true
		return
	}
	inc.epoch = h.ledger.Epoch
	for _, r := range inc.runs {
		switch {
		case r.started && !r.ended && !h.known[r]:
			h.known[r] = true
			h.ledger.Adopt(modelOrganisation, r.demand)
		case !r.started && r.epoch == h.ledger.Epoch && m.chance(10):
			r.ended = true // a stop order arrived before the start
		}
		if r.ended && h.known[r] {
			delete(h.known, r)
			h.ledger.Release(modelOrganisation, r.demand)
		}
	}
	delete(h.unresolved, inc)
}

// tryStart lets a holder start a run on some incarnation. The order may arrive late or never.
func (m *model) tryStart(h *modelHolder) {
	demand := resource.Amount{MilliCores: 1 + m.rand.IntN(8), MemoryMB: m.rand.IntN(5)}
	if m.chance(6) {
		demand = demand.Times(4)
	}
	if !h.ledger.Fits(modelOrganisation, demand) {
		h.ledger.Want(modelOrganisation, demand, 1+m.rand.IntN(3))
		return
	}
	r := &modelRun{demand: demand, epoch: h.ledger.Epoch, permitted: m.permitted(), host: h.pool.incarnations[m.rand.IntN(len(h.pool.incarnations))]}
	h.ledger.Acquire(modelOrganisation, demand)
	h.known[r] = true
	r.host.runs = append(r.host.runs, r)
	if !m.chance(4) {
		m.deliver(r)
	}
}

// deliver carries out a start order unless a later holder has fenced its sender.
func (m *model) deliver(r *modelRun) {
	if r.ended || r.started || r.epoch < r.host.epoch {
		r.ended = r.ended || !r.started
		return
	}
	r.host.epoch = r.epoch
	r.started = true
	m.starts++
	if sum, limit := m.running(), m.permitted().Max(r.permitted); !sum.WithinLimit(limit) {
		m.t.Fatalf("after %s: a start brings the organisation to %v of %v; row %v", m.now.Sub(time.Unix(0, 0)), sum, limit, m.row)
	}
}

// modelCall is a read or a write on its way. It takes effect at one time, and its answer arrives at a later one, or never.
type modelCall struct {
	holder             *modelHolder
	write              quota.Write
	read               bool
	effectAt, answerAt time.Time
	lost, done, stored bool
	row                quota.VersionedRow
}

// call sends the calls that a holder's ledger asks for, one at a time.
func (m *model) call(h *modelHolder) {
	if h.inFlight {
		return
	}
	c := &modelCall{holder: h, read: h.ledger.ReadDue(m.now)}
	if due := c.read; !due {
		if c.write, due = h.ledger.NextWrite(m.now); !due {
			return
		}
	}
	h.inFlight = true
	c.effectAt = m.now.Add(time.Duration(m.rand.IntN(40)) * time.Millisecond)
	c.answerAt = c.effectAt.Add(time.Duration(m.rand.IntN(20)) * time.Millisecond)
	c.lost = m.chance(5)
	if c.lost && !m.chance(3) {
		c.effectAt = c.effectAt.Add(time.Duration(m.rand.IntN(800)) * time.Millisecond)
	}
	m.calls = append(m.calls, c)
}

// advance lets a call take effect and be answered when it is time. It reports whether the call is over.
func (m *model) advance(c *modelCall) bool {
	if !c.done && !m.now.Before(c.effectAt) {
		c.done = true
		if !c.read {
			c.stored = m.commit(c.write)
		}
		c.row = m.row
	}
	if c.holder.inFlight && !m.now.Before(c.answerAt) {
		c.holder.inFlight = false
		current := map[string]quota.VersionedRow{modelOrganisation: c.row}
		switch {
		case c.read && !c.lost:
			c.holder.ledger.Load(current)
		case c.read:
		case c.lost:
			c.holder.ledger.Abandon(c.write)
		case !c.stored:
			c.holder.ledger.Reject(c.write, current)
		default:
			c.holder.ledger.Confirm(c.write, c.row.Version)
		}
	}
	return c.done && !m.now.Before(c.answerAt)
}

// step advances the model.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	pending := m.calls[:0]
	for _, c := range m.calls {
		if !m.advance(c) {
			pending = append(pending, c)
		}
	}
	m.calls = pending
	if m.chance(400) {
		m.limits = append(m.limits, resource.Amount{MilliCores: 30 + m.rand.IntN(120), MemoryMB: 10 + m.rand.IntN(100)})
		m.changedAt = append(m.changedAt, m.now)
	}
	for _, p := range m.pools {
		if m.chance(300) {
			m.takeOver(p)
		}
		for _, inc := range p.incarnations {
			m.stepIncarnation(inc)
		}
		live := p.holders[:0]
		for _, h := range p.holders {
			if m.chance(200) {
				h.pausedUntil = m.now.Add(time.Duration(m.rand.IntN(3000)) * time.Millisecond)
			}
			if !h.over && !m.now.Before(h.pausedUntil) {
				m.act(h)
			}
			if !h.over || h == p.holders[len(p.holders)-1] {
				live = append(live, h)
			}
		}
		p.holders = live
	}
}

// stepIncarnation ends some runs and delivers some late orders.
func (m *model) stepIncarnation(inc *modelIncarnation) {
	for _, r := range inc.runs {
		switch {
		case r.started && m.chance(40):
			r.ended = true
		case !r.started && m.chance(30):
			m.deliver(r)
		}
	}
}

func TestModelNeverExceedsLimit(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			m := &model{t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), limits: []resource.Amount{{MilliCores: 100, MemoryMB: 60}}, changedAt: []time.Time{time.Unix(0, 0)}}
			for i := range 2 + int(seed%2) {
				p := &modelPool{name: fmt.Sprintf("p%d", i), incarnations: []*modelIncarnation{{}, {}, {}}}
				m.pools = append(m.pools, p)
				m.takeOver(p)
			}
			for range 3000 {
				m.step()
			}
			t.Log(m.starts, "starts")
			if m.starts < 100 {
				t.Fatalf("only %d starts", m.starts)
			}
		})
	}
}
