package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"siskincross/core/event"
	"siskincross/io/platform"
)

const (
	// awayFailures is how many calls of one kind in a row must fail before the store counts as away:
	// single lost answers come also while it serves.
	awayFailures = 3
)

// storeHealth judges the store by our own calls of one kind. The zero value holds it to be there.
type storeHealth struct {
	mu       sync.Mutex
	failures int
}

// note takes in how a call ended. It reports whether that changed the judgement.
func (s *storeHealth) note(failed bool) (changed, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.failures >= awayFailures
	if failed {
		s.failures++
	} else {
		s.failures = 0
	}
	after := s.failures >= awayFailures
	return before != after, after
}

// away reports whether a call is expected to fail. Heartbeats and followers go on calling, and notice the return.
func (s *storeHealth) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures >= awayFailures
}

// errStoreAway is returned at once for callers' requests while the store does not answer us.
func errStoreAway() error {
	return platform.ErrUnavailable{Service: "table service", Reason: "it does not answer this entry host at the moment"}
}

// observe wraps the store so that calls are counted by purpose and timed, and its loss and return are told.
func (m *Manager) observe(rows platform.Rows) platform.Rows {
	return platform.Rows{
		Commit: func(ctx context.Context, c platform.Commit) (uint64, error) {
			began := time.Now()
			version, err := rows.Commit(ctx, c)
			m.observed(&m.commits, "commit", c.Purpose, began, err)
			return version, err
		},
		Range: func(ctx context.Context, q platform.Range) (platform.Page, error) {
			began := time.Now()
			page, err := rows.Range(ctx, q)
			m.observed(&m.reads, "read", q.Purpose, began, err)
			return page, err
		},
		Parts: func(ctx context.Context, table string) ([]string, error) {
			began := time.Now()
			parts, err := rows.Parts(ctx, table)
			m.observed(&m.reads, "read", "parts", began, err)
			return parts, err
		},
		Follow: func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
			changes, err := rows.Follow(ctx, table, after, wait)
			m.scope.Tagged(map[string]string{"call": "follow", "purpose": table, "outcome": outcomeOf(err)}).Counter("store_calls").Inc(1)
			return changes, err
		},
	}
}

// latencyBuckets span an answer of the store, from its usual milliseconds to a call's time.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 11)

func (m *Manager) observed(health *storeHealth, call, purpose string, began time.Time, err error) {
	outcome := outcomeOf(err)
	m.scope.Tagged(map[string]string{"call": call, "purpose": purpose, "outcome": outcome}).Counter("store_calls").Inc(1)
	m.scope.Tagged(map[string]string{"call": call}).Histogram("store_latency", latencyBuckets).RecordDuration(time.Since(began))
	if errors.Is(err, context.Canceled) {
		return
	}
	changed, away := health.note(outcome == "unavailable" || outcome == "unknown")
	if !changed {
		return
	}
	number, detail := event.StoreRecovered, call+"s are answered again"
	if away {
		number, detail = event.StoreUnavailable, call+"s: "+err.Error()
	}
	m.record(event.Event{Number: number, Detail: detail})
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
