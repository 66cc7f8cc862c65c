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

// hostsDuty is the duty of giving orders to hosts. A single holder gives them all, so that no two members give orders
// to one host.
const hostsDuty = reservedPrefix + "hosts"

const (
	// maxHostsRoundInterval is the maximum time between two planning rounds.
	maxHostsRoundInterval = 200 * time.Millisecond
	// busyListInterval and idleListInterval are the times between two reads of the list of hosts, while orders are
	// pending and otherwise.
	busyListInterval = 300 * time.Millisecond
	idleListInterval = 4 * time.Second
	// orderValidity is how long after a fenced commit its orders may be sent. It is well below the time for which the
	// next holder waits, so that no order of ours follows one of a later epoch.
	orderValidity = 700 * time.Millisecond
	// storeClockSlack is the maximum lag of our estimate of the store's clock: the longest time that an answer takes.
	storeClockSlack = 500 * time.Millisecond
	// keepHostsTime is how long a new holder switches no host off. Holders of pools may be replaced at the same time as
	// the previous holder of this duty, and state their needs only then.
	keepHostsTime = memberLease + 800*time.Millisecond
)

// hostsHolder plans and gives the orders to hosts while this process holds that duty. The fields above resultsMu
// belong to its loop.
type hostsHolder struct {
	*tenure
	planner  capacity.Planner
	listedAt time.Time
	listed   bool
	// recentOrders holds the orders given recently, and when each was given. storedWithdrawals holds the workers to be
	// evacuated according to the stored plan.
	recentOrders      map[capacity.Order]time.Time
	storedWithdrawals []string
	// storedWaveStates holds whether each wave was last stored as completed, for operators. storedStartedCounts holds the
	// stored number of completed hosts of each wave.
	storedWaveStates    map[string]bool
	storedStartedCounts map[string]int
	ordersPending       bool

	// resultsMu guards the results of orders that the loop has not processed.
	resultsMu sync.Mutex
	results   []orderResult
}

func newHostsHolder(t *tenure) *hostsHolder {
	h := &hostsHolder{tenure: t, storedWaveStates: make(map[string]bool), storedStartedCounts: make(map[string]int)}
	h.planner.Timings = t.manager.Capacity
	h.recentOrders = make(map[capacity.Order]time.Time)
	t.run = h.runRounds
	return h
}

// runRounds runs planning rounds until the duty ends.
func (h *hostsHolder) runRounds() {
	if !h.loadTable() {
		return
	}
	h.manager.record(event.Event{Number: event.WorkDutyTaken, Pool: h.name, Detail: fmt.Sprintf("epoch %d, term %d", h.epoch, h.term)})
	for h.ctx.Err() == nil {
		h.runRound()
		if !sleep(h.ctx, hostsMinInterval) || !h.awaitNextRound(nil, maxHostsRoundInterval) {
			return
		}
	}
}

// loadTable reads what earlier holders and the pools stored, and retries until it succeeds. It reports false if the
// duty ended.
func (h *hostsHolder) loadTable() bool {
	var retry backoff
	for {
		requestedAt := time.Now()
		version, err := h.manager.readHostsTable(h.ctx)
		if err == nil && version != 0 && version < h.epoch {
			err = errStaleRows
		}
		if err == nil {
			now := time.Now()
			h.manager.advanceHostsSnapshotTime(requestedAt)
			h.inheritOrders(now)
			h.planner.NoSwitchOffBefore = now.Add(keepHostsTime)
			return true
		}
		h.manager.record(event.Event{Number: event.WorkDutyFailed, Pool: h.name, Detail: "read the hosts table: " + err.Error()})
		if !h.manager.awaitRetry(h.ctx, &retry) {
			return false
		}
	}
}

// inheritedOrderPause returns how long a host gets no order after an order of another holder.
func (h *hostsHolder) inheritedOrderPause() time.Duration {
	return h.manager.OrderPause + orderValidity
}

// inheritOrders gives the planner the orders that the previous holder may have given recently. That holder gave no
// order that its stored plan did not name.
func (h *hostsHolder) inheritOrders(now time.Time) {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	for _, row := range h.manager.hostsState.recentOrders {
		given := h.latestOrderTime(row, now)
		until := given.Add(h.inheritedOrderPause())
		if until.After(now) {
			h.recentOrders[row.order()] = given
			h.planner.RecordPriorOrder(row.order(), given, until)
		}
	}
}

// latestOrderTime returns the latest time, by our clock, at which an earlier holder can have given an order.
func (h *hostsHolder) latestOrderTime(row orderRow, now time.Time) time.Time {
	clock, known := h.manager.Rows.EstimateClock()
	if !known || row.AtMillis == 0 {
		return now
	}
	return now.Add(-max(0, clock-milliseconds(row.AtMillis)))
}

// recentOrderRows adds the orders that are about to be given, drops old ones, and returns the rows of all that are
// left.
func (h *hostsHolder) recentOrderRows(orders []capacity.Order, now time.Time) []orderRow {
	for _, o := range orders {
		h.recentOrders[o] = now
	}
	clock, known := h.manager.Rows.EstimateClock()
	var rows []orderRow
	for order, at := range h.recentOrders {
		if now.Sub(at) > h.inheritedOrderPause() {
			delete(h.recentOrders, order)
			continue
		}
		row := newOrderRow(order)
		if known {
			row.AtMillis = (clock - now.Sub(at) + storeClockSlack).Milliseconds()
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b orderRow) int { return cmp.Compare(a.Host, b.Host) })
	return rows
}

// runRound updates the planner, plans, stores the plan and sends the orders.
func (h *hostsHolder) runRound() {
	now := time.Now()
	h.applyOrderResults()
	h.updatePlanner(now)
	h.refreshHostList(now)
	if !h.listed || h.manager.hostsStateOutdated(time.Now()) {
		return
	}
	plan := h.planner.Plan(now)
	h.ordersPending = len(plan.Withdraw) > 0 || len(plan.Orders) > 0 || h.planner.HasPendingOrders()
	if !h.commitPlan(plan, now) {
		for _, o := range plan.Orders {
			h.planner.RecordOutcome(o, capacity.OutcomeRefused, now)
		}
		return
	}
	if len(plan.Orders) > 0 {
		h.sendOrders(plan.Orders, now)
	}
	h.storeWaveStates(plan)
}

// updatePlanner gives the planner the configuration, the pools' needs and the maintenance waves.
func (h *hostsHolder) updatePlanner(now time.Time) {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	h.planner.SetPools(h.manager.catalogue.Pools)
	for pool, need := range h.manager.hostsState.needs {
		h.planner.SetPoolReport(pool, need.need())
		h.ordersPending = h.ordersPending || need.Requested > 0 || len(need.Evacuated) > 0
	}
	for _, name := range slices.Sorted(maps.Keys(h.manager.waves)) {
		h.planner.AddWave(h.manager.waves[name], h.manager.hostsState.startedHosts[name], now)
	}
}

// refreshHostList reads the list of hosts if that is due.
func (h *hostsHolder) refreshHostList(now time.Time) {
	interval := idleListInterval
	if h.ordersPending {
		interval = busyListInterval
	}
	if h.listed && now.Sub(h.listedAt) < interval {
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

// commitPlan stores the plan and the progress of the waves if they changed or orders follow. Orders may be sent only
// after the commit, which proves that this process still holds the duty. It reports whether they may be sent.
func (h *hostsHolder) commitPlan(plan capacity.Plan, now time.Time) bool {
	row := planRow{Withdraw: plan.Withdraw, HostShortage: plan.Shortage, RecentOrders: h.recentOrderRows(plan.Orders, now)}
	tx := platform.RowTransaction{Preconditions: []platform.RowPrecondition{h.fencePrecondition()}, Purpose: "hosts"}
	if len(plan.Orders) > 0 || !slices.Equal(plan.Withdraw, h.storedWithdrawals) || plan.Shortage != h.manager.hostShortage() {
		key := platform.RowKey{Table: hostsTable, Partition: hostsDuty, Key: planKey}
		tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: key, Value: encodeRow(row)})
	}
	counts := make(map[string]int)
	for _, w := range h.waves() {
		started := h.planner.StartedHosts(w.Name)
		if len(started) != h.storedStartedCounts[w.Name] {
			key := platform.RowKey{Table: hostsTable, Partition: hostsDuty, Key: startedHostsPrefix + w.Name}
			tx.Writes = append(tx.Writes, platform.RowWrite{RowKey: key, Value: encodeRow(startedHostsRow{started})})
			counts[w.Name] = len(started)
		}
	}
	if len(tx.Writes) == 0 {
		return true
	}
	if _, err := h.manager.Rows.Commit(h.ctx, tx); err != nil {
		if !h.endIfFenced(err) && h.ctx.Err() == nil {
			h.manager.record(event.Event{Number: event.WorkCommitFailed, Pool: h.name, Detail: err.Error()})
		}
		return false
	}
	h.storedWithdrawals = plan.Withdraw
	maps.Copy(h.storedStartedCounts, counts)
	h.manager.record(event.Event{Number: event.PlanStored, Pool: h.name, Detail: fmt.Sprintf("withdraw %v, orders %v, host shortage %t", row.Withdraw, plan.Orders, row.HostShortage)})
	return true
}

// orderDescription returns the text of an order for the log.
func orderDescription(o capacity.Order) string {
	if o.Kind == capacity.KindMaintain {
		return fmt.Sprintf("maintain %s for wave %d", o.Host, o.Wave)
	}
	return fmt.Sprintf("move %s to %s", o.Host, o.Pool)
}

// orderResult is the result of an order to a host.
type orderResult struct {
	order   capacity.Order
	outcome capacity.Outcome
	reason  string
}

// sendOrders sends orders if the plan is recent by both the monotonic and the wall clock, so that a process that was
// suspended sends none. Later rounds process the results.
func (h *hostsHolder) sendOrders(orders []capacity.Order, planned time.Time) {
	for _, o := range orders {
		h.group.Go(func() {
			result := orderResult{o, capacity.OutcomeRefused, "plan is too old"}
			if time.Since(planned) <= orderValidity && time.Since(planned.Round(0)) <= orderValidity {
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

// applyOrderResults gives the planner the results of orders, and records them.
func (h *hostsHolder) applyOrderResults() {
	h.resultsMu.Lock()
	results := h.results
	h.results = nil
	h.resultsMu.Unlock()
	for _, r := range results {
		h.planner.RecordOutcome(r.order, r.outcome, time.Now())
		e := event.Event{Number: event.MachineOrdered, Pool: r.order.Pool, Host: r.order.Host, Detail: orderDescription(r.order)}
		if r.outcome != capacity.OutcomeDone {
			e.Number = event.MachineOrderFailed
			e.Detail += ": " + r.outcome.String() + ": " + r.reason
		}
		h.manager.record(e)
	}
}

// waves returns the known maintenance waves, ordered by name.
func (h *hostsHolder) waves() []work.MaintenanceWave {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	waves := make([]work.MaintenanceWave, 0, len(h.manager.waves))
	for _, name := range slices.Sorted(maps.Keys(h.manager.waves)) {
		waves = append(waves, h.manager.waves[name])
	}
	return waves
}

// storeWaveStates stores the states of waves for operators.
func (h *hostsHolder) storeWaveStates(plan capacity.Plan) {
	for _, w := range h.waves() {
		completed := slices.Contains(plan.CompletedWaves, w.Name)
		told, known := h.storedWaveStates[w.Name]
		if known && told == completed {
			continue
		}
		row := h.manager.Operators.EncodeWaveStatus(w, completed)
		if _, err := h.manager.Rows.Commit(h.ctx, platform.RowTransaction{Writes: []platform.RowWrite{row}, Purpose: "waves"}); err != nil {
			h.manager.record(event.Event{Number: event.WorkCommitFailed, Pool: h.name, Detail: "store the state of wave " + w.Name + ": " + err.Error()})
			return
		}
		h.storedWaveStates[w.Name] = completed
		if completed {
			h.manager.record(event.Event{Number: event.WaveCompleted, Detail: "wave " + w.Name})
		}
	}
}
