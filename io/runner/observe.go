package runner

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"siskincross/core/event"
	"siskincross/io/platform"
)

// errStoreUnavailable is returned at once for callers' requests while the store does not answer us.
func errStoreUnavailable() error {
	return platform.ErrUnavailable{Service: "table service", Reason: "it does not answer this entry host at the moment"}
}

// instrumentRows wraps the store so that calls are counted by purpose and timed, and its loss and return are noticed.
func (m *Manager) instrumentRows(rows platform.RowStore) platform.RowStore {
	return platform.RowStore{
		Commit: func(ctx context.Context, c platform.RowTransaction) (uint64, error) {
			callCtx, call := m.storeHealth.begin(ctx, commitPartition(c), false)
			sending := m.transmitTime(c)
			m.storeHealth.setTransmitTime(call, sending)
			callCtx, done := context.WithTimeout(callCtx, m.commitTimeout(call.partition)+sending)
			defer done()
			version, err := rows.Commit(callCtx, c)
			m.recordCall(ctx, call, "commit", c.Purpose, err)
			return version, err
		},
		ReadRange: func(ctx context.Context, q platform.RangeQuery) (platform.Page, error) {
			callCtx, call := m.storeHealth.begin(ctx, q.Partition, false)
			callCtx, arriving, done := m.withArrivalTimeout(callCtx, call)
			defer done()
			q.OnProgress = arriving
			page, err := rows.ReadRange(callCtx, q)
			m.recordCall(ctx, call, "read", q.Purpose, err)
			m.recordRead(q.Purpose, page, time.Since(call.start))
			return page, err
		},
		ListPartitions: func(ctx context.Context, table string) ([]string, error) {
			callCtx, call := m.storeHealth.begin(ctx, allPartitions, false)
			parts, err := rows.ListPartitions(callCtx, table)
			m.recordCall(ctx, call, "read", "parts", err)
			return parts, err
		},
		AwaitChanges: func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
			callCtx, call := m.storeHealth.begin(ctx, allPartitions, true)
			changes, err := rows.AwaitChanges(callCtx, table, after, wait)
			m.recordCall(ctx, call, "follow", table, err)
			return changes, err
		},
		EstimateClock: rows.EstimateClock,
	}
}

// commitTimeout is how long a transaction may wait for its answer: twice as long after each one of its part in a row that got none. One that
// is given up while it waits behind others is carried out all the same, and its repeat waits behind them too.
func (m *Manager) commitTimeout(part string) time.Duration {
	return min(m.storeLatency.timeout()<<min(m.storeHealth.unansweredCommits(part), 10), maxStoreTimeout)
}

const (
	// minBytesPerMbit is how many bytes of a transaction leave in a second at least for each Mbit/s of the link: half of it.
	minBytesPerMbit = 62_500
	// minLinkMbps is the smallest stated link in Mbit/s. It counts where the link is not known.
	minLinkMbps = 2
	// entryOverhead is about what an entry of a transaction takes beside its value, in bytes.
	entryOverhead = 150
)

// transmitTime is how long a transaction may take to leave this entry host.
func (m *Manager) transmitTime(c platform.RowTransaction) time.Duration {
	size := entryOverhead * (len(c.Preconditions) + len(c.Writes) + len(c.Deletes))
	for _, w := range c.Writes {
		size += len(w.Value) * 4 / 3 // values are sent in base64
	}
	return time.Duration(size) * time.Second / time.Duration(minBytesPerMbit*cmp.Or(m.LinkMbps, minLinkMbps))
}

// arrivalTimeout is the longest pause within an answer: several times that of a packet that is sent again within a zone.
const arrivalTimeout = time.Second

// withArrivalTimeout returns a context that ends when the answer to a call does not begin within the usual time, or when nothing more of it
// comes: an answer that carries much takes as long as the link needs. The function arriving notes that something came.
func (m *Manager) withArrivalTimeout(ctx context.Context, call *storeCall) (limited context.Context, arriving, done func()) {
	limited, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(m.storeLatency.timeout(), func() { cancel(context.DeadlineExceeded) })
	arriving = func() {
		timer.Reset(arrivalTimeout)
		m.storeHealth.recordArrival(call)
	}
	return limited, arriving, func() {
		timer.Stop()
		cancel(nil)
	}
}

// recordRead counts what a reading carried and how long it took, by purpose.
func (m *Manager) recordRead(purpose string, page platform.Page, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"purpose": purpose})
	scope.Counter("store_read_rows").Inc(int64(len(page.Rows)))
	scope.Counter("store_read_bytes").Inc(int64(totalValueSize(page.Rows)))
	scope.Histogram("store_read_time", latencyBuckets).RecordDuration(took)
}

// totalValueSize is how many bytes of values rows have.
func totalValueSize(rows []platform.VersionedRow) int {
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	return size
}

// commitPartition returns the part that a transaction touches.
func commitPartition(c platform.RowTransaction) string {
	switch {
	case len(c.Writes) > 0:
		return c.Writes[0].Partition
	case len(c.Deletes) > 0:
		return c.Deletes[0].Partition
	case len(c.Preconditions) > 0:
		return c.Preconditions[0].Partition
	}
	return ""
}

// latencyBuckets span an answer of the store, from its usual milliseconds to a call's time.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 11)

// recordCall takes in how a call ended. One that its maker no longer wanted tells nothing of the store.
func (m *Manager) recordCall(ctx context.Context, call *storeCall, kind, purpose string, err error) {
	outcome := outcomeOf(err)
	if kind == "commit" {
		m.storeHealth.recordCommit(call.partition, outcome != "unknown")
	}
	m.scope.Tagged(map[string]string{"call": kind, "purpose": purpose, "outcome": outcome}).Counter("store_calls").Inc(1)
	if !call.longPoll {
		if !errors.Is(ctx.Err(), context.Canceled) {
			m.storeLatency.recordLatency(m.storeHealth.latency(call), outcome != "unknown")
		}
		m.scope.Tagged(map[string]string{"call": kind, "purpose": purpose}).Histogram("store_latency", latencyBuckets).RecordDuration(time.Since(call.start))
	}
	counts := !errors.Is(ctx.Err(), context.Canceled)
	if kind == "commit" && isOverloaded(err) {
		// The store serves, but transactions of the part wait for each other; or it turns this entry host away, which a probe tells.
		counts = false
		m.storeLatency.extend()
		m.storeHealth.recordOverload(call.partition, time.Now())
	}
	answered := outcome != "unavailable" && outcome != "unknown"
	if change, ok := m.storeHealth.end(call, answered, counts); ok {
		m.handleAvailabilityChange(change, err)
	}
}

// isOverloaded reports whether a call was refused because there was too much to do.
func isOverloaded(err error) bool {
	var unavailable platform.ErrUnavailable
	return errors.As(err, &unavailable) && unavailable.Overloaded
}

// handleAvailabilityChange records a change of what is believed of the store, and acts on it.
func (m *Manager) handleAvailabilityChange(change availabilityChange, cause error) {
	part := change.partition
	if part == "" {
		part = "the shared part"
	}
	if !change.unavailable {
		m.record(event.Event{Number: event.StoreRecovered, Pool: change.partition, Detail: "calls of " + part + " are answered again"})
		m.resumeWaitingCalls(change.partition)
		return
	}
	detail := "no call is answered"
	if cause != nil {
		detail = cause.Error()
	}
	m.record(event.Event{Number: event.StoreUnavailable, Pool: change.partition, Detail: "calls of " + part + ": " + detail})
	m.refuseQueuedSubmissions()
}

// resumeWaitingCalls has everything that waits for another try of the store go on at once.
func (m *Manager) resumeWaitingCalls(part string) {
	m.mu.Lock()
	close(m.storeRecovered)
	m.storeRecovered = make(chan struct{})
	h := m.holders[part]
	m.mu.Unlock()
	if h != nil {
		h.mu.Lock()
		h.commitRetryAt, h.commitFailures = time.Time{}, 0
		h.mu.Unlock()
		h.wake()
	}
}

// monitorStore notices calls that stay without an answer, and the return of parts that are away.
func (m *Manager) monitorStore(ctx context.Context) {
	for sleep(ctx, healthCheckInterval) {
		changes, probes := m.storeHealth.check(time.Now())
		for _, change := range changes {
			m.handleAvailabilityChange(change, nil)
		}
		for _, part := range probes {
			m.group.Go(func() { m.probeStore(ctx, part) })
		}
	}
}

// probeStore makes a call of a part for what its end tells of the store: observe takes that in, an error too.
func (m *Manager) probeStore(ctx context.Context, part string) {
	key := platform.RowKey{Table: fleetTable, Partition: part, Key: holderKey}
	if _, _, err := m.Rows.ReadRow(ctx, key, "probe"); err != nil {
		return
	}
}

func outcomeOf(err error) string {
	var unavailable platform.ErrUnavailable
	var unknown platform.ErrOutcomeUnknown
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return "refused"
}
