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

// errStoreAway is returned at once for callers' requests while the store does not answer us.
func errStoreAway() error {
	return platform.ErrUnavailable{Service: "table service", Reason: "it does not answer this entry host at the moment"}
}

// observe wraps the store so that calls are counted by purpose and timed, and its loss and return are noticed.
func (m *Manager) observe(rows platform.Rows) platform.Rows {
	return platform.Rows{
		Commit: func(ctx context.Context, c platform.Commit) (uint64, error) {
			callCtx, call := m.health.begin(ctx, partOf(c), false)
			sending := m.sendTime(c)
			m.health.send(call, sending)
			callCtx, done := context.WithTimeout(callCtx, m.commitTime(call.part)+sending)
			defer done()
			version, err := rows.Commit(callCtx, c)
			m.observed(ctx, call, "commit", c.Purpose, err)
			return version, err
		},
		Range: func(ctx context.Context, q platform.Range) (platform.Page, error) {
			callCtx, call := m.health.begin(ctx, q.Part, false)
			callCtx, arriving, done := m.whileArriving(callCtx, call)
			defer done()
			q.Arriving = arriving
			page, err := rows.Range(callCtx, q)
			m.observed(ctx, call, "read", q.Purpose, err)
			m.countRead(q.Purpose, page, time.Since(call.began))
			return page, err
		},
		Parts: func(ctx context.Context, table string) ([]string, error) {
			callCtx, call := m.health.begin(ctx, everyPart, false)
			parts, err := rows.Parts(callCtx, table)
			m.observed(ctx, call, "read", "parts", err)
			return parts, err
		},
		Follow: func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
			callCtx, call := m.health.begin(ctx, everyPart, true)
			changes, err := rows.Follow(callCtx, table, after, wait)
			m.observed(ctx, call, "follow", table, err)
			return changes, err
		},
		Now: rows.Now,
	}
}

// commitTime is how long a transaction may wait for its answer: twice as long after each one of its part in a row that got none. One that
// is given up while it waits behind others is carried out all the same, and its repeat waits behind them too.
func (m *Manager) commitTime(part string) time.Duration {
	return min(m.storePatience.limit()<<min(m.health.unanswered(part), 10), mostStorePatience)
}

const (
	// linkRate is how many bytes of a transaction leave in a second at least for each Mbit/s of the link: half of it.
	linkRate = 62_500
	// leastLink is the smallest stated link in Mbit/s. It counts where the link is not known.
	leastLink = 2
	// entrySize is about what an entry of a transaction takes beside its value, in bytes.
	entrySize = 150
)

// sendTime is how long a transaction may take to leave this entry host.
func (m *Manager) sendTime(c platform.Commit) time.Duration {
	size := entrySize * (len(c.Expected) + len(c.Writes) + len(c.Removes))
	for _, w := range c.Writes {
		size += len(w.Value) * 4 / 3 // values are sent in base64
	}
	return time.Duration(size) * time.Second / time.Duration(linkRate*cmp.Or(m.LinkMbps, leastLink))
}

// arrivalPatience is the longest pause within an answer: several times that of a packet that is sent again within a zone.
const arrivalPatience = time.Second

// whileArriving returns a context that ends when the answer to a call does not begin within the usual time, or when nothing more of it
// comes: an answer that carries much takes as long as the link needs. The function arriving notes that something came.
func (m *Manager) whileArriving(ctx context.Context, call *storeCall) (limited context.Context, arriving, done func()) {
	limited, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(m.storePatience.limit(), func() { cancel(context.DeadlineExceeded) })
	arriving = func() {
		timer.Reset(arrivalPatience)
		m.health.hear(call)
	}
	return limited, arriving, func() {
		timer.Stop()
		cancel(nil)
	}
}

// countRead counts what a reading carried and how long it took, by purpose.
func (m *Manager) countRead(purpose string, page platform.Page, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"purpose": purpose})
	scope.Counter("store_read_rows").Inc(int64(len(page.Rows)))
	scope.Counter("store_read_bytes").Inc(int64(sizeOf(page.Rows)))
	scope.Histogram("store_read_time", latencyBuckets).RecordDuration(took)
}

// sizeOf is how many bytes of values rows have.
func sizeOf(rows []platform.PartRow) int {
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	return size
}

// partOf returns the part that a transaction touches.
func partOf(c platform.Commit) string {
	switch {
	case len(c.Writes) > 0:
		return c.Writes[0].Part
	case len(c.Removes) > 0:
		return c.Removes[0].Part
	case len(c.Expected) > 0:
		return c.Expected[0].Part
	}
	return ""
}

// latencyBuckets span an answer of the store, from its usual milliseconds to a call's time.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 11)

// observed takes in how a call ended. One that its maker no longer wanted tells nothing of the store.
func (m *Manager) observed(ctx context.Context, call *storeCall, kind, purpose string, err error) {
	outcome := outcomeOf(err)
	if kind == "commit" {
		m.health.committed(call.part, outcome != "unknown")
	}
	m.scope.Tagged(map[string]string{"call": kind, "purpose": purpose, "outcome": outcome}).Counter("store_calls").Inc(1)
	if !call.waits {
		if !errors.Is(ctx.Err(), context.Canceled) {
			m.storePatience.took(m.health.latency(call), outcome != "unknown")
		}
		m.scope.Tagged(map[string]string{"call": kind, "purpose": purpose}).Histogram("store_latency", latencyBuckets).RecordDuration(time.Since(call.began))
	}
	counts := !errors.Is(ctx.Err(), context.Canceled)
	if kind == "commit" && isBusy(err) {
		// The store serves, but transactions of the part wait for each other; or it turns this entry host away, which a probe tells.
		counts = false
		m.storePatience.stretch()
		m.health.crowded(call.part, time.Now())
	}
	answered := outcome != "unavailable" && outcome != "unknown"
	if change, ok := m.health.end(call, answered, counts); ok {
		m.tellStore(change, err)
	}
}

// isBusy reports whether a call was refused because there was too much to do.
func isBusy(err error) bool {
	var unavailable platform.ErrUnavailable
	return errors.As(err, &unavailable) && unavailable.Busy
}

// tellStore records a change of what is believed of the store, and acts on it.
func (m *Manager) tellStore(change judgement, cause error) {
	part := change.part
	if part == "" {
		part = "the shared part"
	}
	if !change.away {
		m.record(event.Event{Number: event.StoreRecovered, Pool: change.part, Detail: "calls of " + part + " are answered again"})
		m.storeBack(change.part)
		return
	}
	detail := "no call is answered"
	if cause != nil {
		detail = cause.Error()
	}
	m.record(event.Event{Number: event.StoreUnavailable, Pool: change.part, Detail: "calls of " + part + ": " + detail})
	m.refuseWaiting()
}

// storeBack has everything that waits for another try of the store go on at once.
func (m *Manager) storeBack(part string) {
	m.mu.Lock()
	close(m.back)
	m.back = make(chan struct{})
	h := m.holders[part]
	m.mu.Unlock()
	if h != nil {
		h.mu.Lock()
		h.retryAt, h.failures = time.Time{}, 0
		h.mu.Unlock()
		h.wake()
	}
}

// watchStore notices calls that stay without an answer, and the return of parts that are away.
func (m *Manager) watchStore(ctx context.Context) {
	for sleep(ctx, healthEvery) {
		changes, probes := m.health.look(time.Now())
		for _, change := range changes {
			m.tellStore(change, nil)
		}
		for _, part := range probes {
			m.group.Go(func() { m.probeStore(ctx, part) })
		}
	}
}

// probeStore makes a call of a part for what its end tells of the store: observe takes that in, an error too.
func (m *Manager) probeStore(ctx context.Context, part string) {
	key := platform.RowKey{Table: fleetTable, Part: part, Key: holderKey}
	if _, _, err := m.Rows.ReadOne(ctx, key, "probe"); err != nil {
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
