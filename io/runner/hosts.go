package runner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"siskincross/core/capacity"
	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// hostsDuty is the duty of giving orders to hosts. One holder gives them all, so that no two give orders to one host.
const hostsDuty = reservedPrefix + "hosts"

const (
	// hostsEvery is the longest time between two rounds of planning.
	hostsEvery = 200 * time.Millisecond
	// listBusy and listIdle are the times between two readings of the list of hosts, while orders are out and else.
	listBusy = 300 * time.Millisecond
	listIdle = 4 * time.Second
	// intentTime is how long after a fenced commit orders may be sent. It is well below the time for which
	// the next holder waits, so that no order of ours follows one of a later epoch.
	intentTime = 700 * time.Millisecond
	// orderSlack is by how much our estimate of the store's clock may be behind: the longest that its answers take.
	orderSlack = 500 * time.Millisecond
	// keepTime is how long a new holder switches no host off: holders of pools may be replaced at the same time as the
	// earlier holder of this duty, and state what they need only then.
	keepTime = memberLease + 800*time.Millisecond
)

// hostsHolder gives the orders to hosts while this process holds that duty. Its loop owns its fields.
type hostsHolder struct {
	*tenure
	planner  capacity.Planner
	listedAt time.Time
	listed   bool
	// recent holds the orders given lately, and when.
	recent   map[capacity.Order]time.Time
	withdraw []string
	// told holds the waves' states that were written for operators, stored the numbers of hosts done that were stored.
	told   map[string]bool
	stored map[string]int
	busy   bool

	// resultsMu guards the ends of orders that the loop has not taken in.
	resultsMu sync.Mutex
	results   []orderResult
}

func newHostsHolder(t *tenure) *hostsHolder {
	h := &hostsHolder{tenure: t, told: make(map[string]bool), stored: make(map[string]int)}
	h.planner.Timings = t.manager.Capacity
	h.recent = make(map[capacity.Order]time.Time)
	t.run = h.rounds
	return h
}

func (h *hostsHolder) rounds() {
	if !h.load() {
		return
	}
	h.manager.record(event.Event{Number: event.WorkDutyTaken, Pool: h.name, Detail: fmt.Sprintf("epoch %d, term %d", h.epoch, h.term)})
	for h.ctx.Err() == nil {
		h.round()
		if !sleep(h.ctx, hostsGather) || !h.awaitRound(nil, hostsEvery) {
			return
		}
	}
}

// load reads what earlier holders stored.
func (h *hostsHolder) load() bool {
	var retry backoff
	for {
		asked := time.Now()
		version, err := h.manager.readHosts(h.ctx)
		if err == nil && version != 0 && version < h.epoch {
			err = errStaleRead
		}
		if err == nil {
			now := time.Now()
			h.manager.hostsKnown(asked)
			h.inherit(now)
			h.planner.NoSwitchOffBefore = now.Add(keepTime)
			return true
		}
		h.manager.record(event.Event{Number: event.WorkDutyFailed, Pool: h.name, Detail: "read the table of hosts: " + err.Error()})
		if !h.manager.awaitRetry(h.ctx, &retry) {
			return false
		}
	}
}

// pause is how long a holder leaves a host alone that another holder gave an order for.
func (h *hostsHolder) pause() time.Duration { return h.manager.OrderPause + intentTime }

// inherit takes in the orders that the earlier holder may have given a moment ago. It gave none that its plan did not name.
func (h *hostsHolder) inherit(now time.Time) {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	for _, row := range h.manager.hostsState.recent {
		given := h.givenAt(row, now)
		until := given.Add(h.pause())
		if until.After(now) {
			h.recent[row.order()] = given
			h.planner.RecordPriorOrder(row.order(), given, until)
		}
	}
}

// givenAt is the latest time at which an order of an earlier holder can have been given, by our clock.
func (h *hostsHolder) givenAt(row orderRow, now time.Time) time.Time {
	clock, known := h.manager.Rows.EstimateClock()
	if !known || row.AtMillis == 0 {
		return now
	}
	return now.Add(-max(0, clock-millis(row.AtMillis)))
}

// recentRows returns the orders of the last moments and those that follow, and forgets older ones.
func (h *hostsHolder) recentRows(orders []capacity.Order, now time.Time) []orderRow {
	for _, o := range orders {
		h.recent[o] = now
	}
	clock, known := h.manager.Rows.EstimateClock()
	var rows []orderRow
	for order, at := range h.recent {
		if now.Sub(at) > h.pause() {
			delete(h.recent, order)
			continue
		}
		row := newOrderRow(order)
		if known {
			row.AtMillis = (clock - now.Sub(at) + orderSlack).Milliseconds()
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b orderRow) int { return cmp.Compare(a.Host, b.Host) })
	return rows
}

// round takes in what is known, plans, stores the plan and gives the orders.
func (h *hostsHolder) round() {
	now := time.Now()
	h.takeResults()
	h.takeIn(now)
	h.list(now)
	if !h.listed || h.manager.hostsOutdated(time.Now()) {
		return
	}
	plan := h.planner.Plan(now)
	h.busy = len(plan.Drain) > 0 || len(plan.Orders) > 0 || h.planner.HasPendingOrders()
	if !h.storePlan(plan, now) {
		for _, o := range plan.Orders {
			h.planner.RecordOutcome(o, capacity.OutcomeRefused, now)
		}
		return
	}
	if len(plan.Orders) > 0 {
		h.give(plan.Orders, now)
	}
	h.tellWaves(plan)
}

// takeIn gives the planner the configuration, the pools' needs and the waves.
func (h *hostsHolder) takeIn(now time.Time) {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	h.planner.SetPools(h.manager.catalogue.Pools)
	for pool, need := range h.manager.hostsState.needs {
		h.planner.SetPoolReport(pool, need.need())
		h.busy = h.busy || need.Ask > 0 || len(need.Cleared) > 0
	}
	for _, name := range slices.Sorted(maps.Keys(h.manager.waves)) {
		h.planner.AddWave(h.manager.waves[name], h.manager.hostsState.done[name], now)
	}
}

// list reads the list of hosts if it is due.
func (h *hostsHolder) list(now time.Time) {
	every := listIdle
	if h.busy {
		every = listBusy
	}
	if h.listed && now.Sub(h.listedAt) < every {
		return
	}
	h.listedAt = now
	machines, err := h.manager.CloudAPI.ListHosts(h.ctx)
	if err != nil {
		if h.ctx.Err() == nil {
			h.manager.record(event.Event{Number: event.MachineOrderFailed, Pool: h.name, Detail: "list the hosts: " + err.Error()})
		}
		return
	}
	h.listed = true
	h.planner.SetMachines(machines, now)
}

// storePlan commits the plan and the progress of the waves if they changed or orders follow. Orders may be given only
// after it: the commit proves that the duty is still ours.
func (h *hostsHolder) storePlan(plan capacity.Plan, now time.Time) bool {
	row := planRow{Withdraw: plan.Drain, Short: plan.Shortage, Recent: h.recentRows(plan.Orders, now)}
	tx := platform.RowTransaction{Preconditions: []platform.RowPrecondition{h.fence()}, Purpose: "hosts"}
	if len(plan.Orders) > 0 || !slices.Equal(plan.Drain, h.withdraw) || plan.Shortage != h.manager.hostsShort() {
		key := platform.RowKey{Table: hostsTable, Partition: hostsDuty, Key: planKey}
		tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: key, Value: encodeRow(row)})
	}
	counts := make(map[string]int)
	for _, w := range h.waves() {
		done := h.planner.StartedHosts(w.Name)
		if len(done) != h.stored[w.Name] {
			key := platform.RowKey{Table: hostsTable, Partition: hostsDuty, Key: donePrefix + w.Name}
			tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: key, Value: encodeRow(doneRow{done})})
			counts[w.Name] = len(done)
		}
	}
	if len(tx.Writes) == 0 {
		return true
	}
	if _, err := h.manager.Rows.Commit(h.ctx, tx); err != nil {
		if !h.fenced(err) && h.ctx.Err() == nil {
			h.manager.record(event.Event{Number: event.WorkCommitFailed, Pool: h.name, Detail: err.Error()})
		}
		return false
	}
	h.withdraw = plan.Drain
	maps.Copy(h.stored, counts)
	h.manager.record(event.Event{Number: event.PlanStored, Pool: h.name, Detail: fmt.Sprintf("withdraw %v, orders %v, short of hosts %t", row.Withdraw, plan.Orders, row.Short)})
	return true
}

func orderText(o capacity.Order) string {
	if o.Kind == capacity.KindMaintain {
		return fmt.Sprintf("maintain %s for wave %d", o.Host, o.Wave)
	}
	return fmt.Sprintf("move %s to %s", o.Host, o.Pool)
}

// orderResult is how an order for a host ended.
type orderResult struct {
	order   capacity.Order
	outcome capacity.Outcome
	reason  string
}

// give sends orders, if the commit before them was recent by both clocks: a process that was frozen gives none.
// The next rounds take in how they end.
func (h *hostsHolder) give(orders []capacity.Order, decided time.Time) {
	for _, o := range orders {
		h.group.Go(func() {
			result := orderResult{o, capacity.OutcomeRefused, "the plan is too old"}
			if time.Since(decided) <= intentTime && time.Since(decided.Round(0)) <= intentTime {
				order := platform.HostOrder{Order: o, Holder: h.manager.EntryHost, Epoch: h.epoch}
				result.outcome, result.reason = h.manager.CloudAPI.SendOrder(h.ctx, order)
			}
			h.resultsMu.Lock()
			h.results = append(h.results, result)
			h.resultsMu.Unlock()
			h.wake()
		})
	}
}

// takeResults gives the planner the ends of orders.
func (h *hostsHolder) takeResults() {
	h.resultsMu.Lock()
	results := h.results
	h.results = nil
	h.resultsMu.Unlock()
	for _, r := range results {
		h.planner.RecordOutcome(r.order, r.outcome, time.Now())
		e := event.Event{Number: event.MachineOrdered, Pool: r.order.Pool, Host: r.order.Host, Detail: orderText(r.order)}
		if r.outcome != capacity.OutcomeDone {
			e.Number = event.MachineOrderFailed
			e.Detail += ": " + r.outcome.String() + ": " + r.reason
		}
		h.manager.record(e)
	}
}

func (h *hostsHolder) waves() []work.MaintenanceWave {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	waves := make([]work.MaintenanceWave, 0, len(h.manager.waves))
	for _, name := range slices.Sorted(maps.Keys(h.manager.waves)) {
		waves = append(waves, h.manager.waves[name])
	}
	return waves
}

// tellWaves writes the states of waves for operators.
func (h *hostsHolder) tellWaves(plan capacity.Plan) {
	for _, w := range h.waves() {
		completed := slices.Contains(plan.CompletedWaves, w.Name)
		told, known := h.told[w.Name]
		if known && told == completed {
			continue
		}
		row := h.manager.Operators.EncodeWaveStatus(w, completed)
		if _, err := h.manager.Rows.Commit(h.ctx, platform.RowTransaction{Writes: []platform.RowWrite{row}, Purpose: "waves"}); err != nil {
			h.manager.record(event.Event{Number: event.WorkCommitFailed, Pool: h.name, Detail: "state of wave " + w.Name + ": " + err.Error()})
			return
		}
		h.told[w.Name] = completed
		if completed {
			h.manager.record(event.Event{Number: event.WaveCompleted, Detail: "wave " + w.Name})
		}
	}
}
