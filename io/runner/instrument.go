package runner

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"siskincross/core/event"
	"siskincross/io/platform"
)

// errStoreUnavailable returns the error for callers' requests that are refused without a call while the store is
// unavailable.
func errStoreUnavailable() error {
	return platform.ErrUnavailable{Service: "table service", Reason: "it does not currently answer this entry host"}
}

// instrumentRows wraps the store so that calls are timed, counted by purpose, and used to detect outages and
// recoveries.
func (m *Manager) instrumentRows(rows platform.RowStore) platform.RowStore {
	return platform.RowStore{
		Commit: func(ctx context.Context, tx platform.RowTransaction) (uint64, error) {
			callCtx, call := m.storeHealth.begin(ctx, commitPartition(tx), false, false)
			transmitTime := m.transmitTime(tx)
			m.storeHealth.setTransmitTime(call, transmitTime)
			callCtx, _, done := m.withAnswerTimeout(callCtx, call, m.commitTimeout(call.partition)+transmitTime, maxQueueing)
			defer done()
			version, err := rows.Commit(callCtx, tx)
			m.recordCall(ctx, call, "commit", tx.Purpose, err)
			return version, err
		},
		ReadRange: func(ctx context.Context, q platform.RangeQuery) (platform.Page, error) {
			callCtx, call := m.storeHealth.begin(ctx, q.Partition, false, q.Purpose == probePurpose)
			callCtx, arriving, done := m.withArrivalTimeout(callCtx, call)
			defer done()
			q.OnProgress = arriving
			page, err := rows.ReadRange(callCtx, q)
			m.recordCall(ctx, call, "read", q.Purpose, err)
			m.recordRead(q.Purpose, page, time.Since(call.start))
			return page, err
		},
		ListPartitions: func(ctx context.Context, table string) ([]string, error) {
			callCtx, call := m.storeHealth.begin(ctx, allPartitions, false, false)
			partitions, err := rows.ListPartitions(callCtx, table)
			m.recordCall(ctx, call, "read", "parts", err)
			return partitions, err
		},
		AwaitChanges: func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
			callCtx, call := m.storeHealth.begin(ctx, allPartitions, true, false)
			changes, err := rows.AwaitChanges(callCtx, table, after, wait)
			m.recordCall(ctx, call, "follow", table, err)
			return changes, err
		},
		EstimateClock: rows.EstimateClock,
	}
}

// commitTimeout returns the timeout of a transaction. It doubles with each consecutive unanswered transaction of the
// partition, and remains twice the latency of the last one that was answered: the store still executes a transaction
// that the client has given up on while it was queued, and the repetition is queued behind it.
func (m *Manager) commitTimeout(partition string) time.Duration {
	unanswered, latency := m.storeHealth.commitHistory(partition)
	return min(max(m.storeLatency.timeout()<<min(unanswered, 10), 2*latency), maxStoreTimeout)
}

// answerCheckInterval is the time between two checks whether a call that has exceeded its timeout may be answered.
const answerCheckInterval = 50 * time.Millisecond

// withAnswerTimeout returns a context that ends when a call has exceeded its timeout and is not expected to be answered
// any more. queueing is how long the store may hold the call back before it is executed. The function restart begins a
// new timeout, and done must be called when the call has ended.
func (m *Manager) withAnswerTimeout(ctx context.Context, call *storeCall, timeout, queueing time.Duration) (
	limited context.Context, restart func(time.Duration), done func(),
) {
	limited, cancel := context.WithCancelCause(ctx)
	var mu sync.Mutex
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(timeout, func() {
		mu.Lock()
		defer mu.Unlock()
		if limited.Err() == nil && m.storeHealth.mayBeAnswered(call, queueing, time.Now()) {
			timer.Reset(answerCheckInterval)
			return
		}
		cancel(context.DeadlineExceeded)
	})
	restart = func(timeout time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		timer.Reset(timeout)
	}
	return limited, restart, func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
		cancel(nil)
	}
}

const (
	// minBytesPerMbit is the minimum number of bytes that leave per second for each Mbit/s of the link: half of its
	// capacity.
	minBytesPerMbit = 62_500
	// minLinkMbps is the smallest supported link in Mbit/s. It is assumed if the link's capacity is unknown.
	minLinkMbps = 2
	// entryOverhead is the approximate size in bytes of an entry of a transaction without its value.
	entryOverhead = 150
)

// transmitTime returns how long a transaction may take to leave this entry host.
func (m *Manager) transmitTime(tx platform.RowTransaction) time.Duration {
	size := entryOverhead * (len(tx.Preconditions) + len(tx.Writes) + len(tx.Deletes))
	for _, w := range tx.Writes {
		size += len(w.Value) * 4 / 3 // values are sent in base64
	}
	return time.Duration(size) * time.Second / time.Duration(minBytesPerMbit*cmp.Or(m.LinkMbps, minLinkMbps))
}

// arrivalTimeout bounds the time between two parts of an answer. It is several times the delay of a packet that is
// retransmitted within a zone.
const arrivalTimeout = time.Second

// withArrivalTimeout returns a context that ends if the answer to a call does not begin within the usual time or
// stops arriving. A large answer may take as long as the link needs. The function arriving must be called whenever a
// part of the answer arrives, and done when the call has ended.
func (m *Manager) withArrivalTimeout(ctx context.Context, call *storeCall) (limited context.Context, arriving, done func()) {
	limited, restart, done := m.withAnswerTimeout(ctx, call, m.storeLatency.timeout(), 0)
	arriving = func() {
		restart(arrivalTimeout)
		m.storeHealth.recordArrival(call)
	}
	return limited, arriving, done
}

// recordRead records the rows, bytes and duration of a read by purpose.
func (m *Manager) recordRead(purpose string, page platform.Page, duration time.Duration) {
	scope := m.scope.Tagged(map[string]string{"purpose": purpose})
	scope.Counter("store_read_rows").Inc(int64(len(page.Rows)))
	scope.Counter("store_read_bytes").Inc(int64(totalValueSize(page.Rows)))
	scope.Histogram("store_read_time", latencyBuckets).RecordDuration(duration)
}

// totalValueSize returns the total size of the rows' values in bytes.
func totalValueSize(rows []platform.VersionedRow) int {
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	return size
}

// commitPartition returns the partition of a transaction's rows.
func commitPartition(tx platform.RowTransaction) string {
	switch {
	case len(tx.Writes) > 0:
		return tx.Writes[0].Partition
	case len(tx.Deletes) > 0:
		return tx.Deletes[0].Partition
	case len(tx.Preconditions) > 0:
		return tx.Preconditions[0].Partition
	}
	return ""
}

// latencyBuckets cover the usual latency of the store, a few milliseconds, up to the longest timeout.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 11)

// recordCall records the result of a call in the metrics, the latency estimate and the store's health. Calls that
// their caller cancelled say nothing about the store.
func (m *Manager) recordCall(ctx context.Context, call *storeCall, kind, purpose string, err error) {
	outcome := callOutcome(err)
	latency := m.storeHealth.latency(call)
	if outcome != "unknown" {
		m.storeHealth.recordAnswer(call, latency)
	}
	if kind == "commit" {
		m.storeHealth.recordCommit(call.partition, outcome != "unknown", latency)
	}
	m.scope.Tagged(map[string]string{"call": kind, "purpose": purpose, "outcome": outcome}).Counter("store_calls").Inc(1)
	if !call.longPoll {
		if !errors.Is(ctx.Err(), context.Canceled) {
			m.storeLatency.recordLatency(latency, outcome != "unknown")
		}
		m.scope.Tagged(map[string]string{"call": kind, "purpose": purpose}).Histogram("store_latency", latencyBuckets).RecordDuration(time.Since(call.start))
	}
	conclusive := !errors.Is(ctx.Err(), context.Canceled)
	if kind == "commit" && isOverloaded(err) {
		// The store is available but transactions of the partition are queued, or it rejects this entry host alone. A
		// probe tells these cases apart.
		conclusive = false
		m.storeLatency.extend()
		m.storeHealth.recordOverload(call.partition, time.Now())
	}
	answered := outcome != "unavailable" && outcome != "unknown"
	if change, ok := m.storeHealth.end(call, answered, conclusive); ok {
		m.handleAvailabilityChange(change, err)
	}
}

// isOverloaded reports whether the store refused a call because it is overloaded.
func isOverloaded(err error) bool {
	var unavailable platform.ErrUnavailable
	return errors.As(err, &unavailable) && unavailable.Overloaded
}

// handleAvailabilityChange records that a partition became available or unavailable, and resumes waiting calls or
// refuses queued submissions.
func (m *Manager) handleAvailabilityChange(change availabilityChange, cause error) {
	partition := change.partition
	if partition == "" {
		partition = "the shared partition"
	}
	if !change.unavailable {
		m.record(event.Event{Number: event.StoreRecovered, Pool: change.partition, Detail: "calls for " + partition + " are answered again"})
		m.resumeWaitingCalls(change.partition)
		return
	}
	detail := "no call is answered"
	if cause != nil {
		detail = cause.Error()
	}
	m.record(event.Event{Number: event.StoreUnavailable, Pool: change.partition, Detail: "calls for " + partition + ": " + detail})
	m.refuseQueuedSubmissions()
}

// resumeWaitingCalls ends the retry delays of all calls, and that of the partition's holder.
func (m *Manager) resumeWaitingCalls(partition string) {
	m.mu.Lock()
	close(m.storeRecovered)
	m.storeRecovered = make(chan struct{})
	h := m.holders[partition]
	m.mu.Unlock()
	if h != nil {
		h.mu.Lock()
		h.commitRetryAt, h.commitFailures = time.Time{}, 0
		h.mu.Unlock()
		h.wake()
	}
}

// monitorStore detects unanswered calls, and probes unavailable partitions until they recover. It also publishes how current
// the configuration is.
func (m *Manager) monitorStore(ctx context.Context) {
	report := configurationReport{manager: m}
	for sleep(ctx, healthCheckInterval) {
		report.update(time.Now())
		changes, probes := m.storeHealth.check(time.Now())
		for _, change := range changes {
			m.handleAvailabilityChange(change, nil)
		}
		for _, partition := range probes {
			m.group.Go(func() { m.probeStore(ctx, partition) })
		}
	}
}

// probePurpose is the purpose of the reads of probeStore.
const probePurpose = "probe"

// probeStore reads a row of a partition to find out whether it answers. The result is evaluated by the wrapper of
// instrumentRows, also if it is an error.
func (m *Manager) probeStore(ctx context.Context, partition string) {
	key := platform.RowKey{Table: fleetTable, Partition: partition, Key: holderKey}
	if _, _, err := m.Rows.ReadRow(ctx, key, probePurpose); err != nil {
		return
	}
}

// callOutcome returns the metric label for the result of a call.
func callOutcome(err error) string {
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
