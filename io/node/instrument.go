package node

import (
	"context"
	"errors"
	"sync"

	"github.com/uber-go/tally/v4"

	"siskincross/core/event"
	"siskincross/io/platform"
	"siskincross/io/timeline"
)

// outageRecorder records when the table service stops answering and when it answers again.
type outageRecorder struct {
	recorder *timeline.Recorder

	mu sync.Mutex
	// outage is the event of the current outage; empty while the service answers.
	outage event.ID
}

// instrument returns p with its table's calls counted by purpose and its outages recorded.
func instrument(p platform.Services, scope tally.Scope, recorder *timeline.Recorder) platform.Services {
	watch := &outageRecorder{recorder: recorder}
	store := scope.SubScope("store")
	table := p.Table
	p.Table = platform.Table{
		Commit: func(ctx context.Context, tx platform.Transaction) error {
			store.Tagged(map[string]string{"purpose": tx.Purpose}).Counter("writes").Inc(int64(len(tx.Writes)))
			err := table.Commit(ctx, tx)
			watch.observe(err)
			return err
		},
		Read: func(ctx context.Context, keys []string) ([]platform.Row, error) {
			rows, err := table.Read(ctx, keys)
			store.Counter("reads").Inc(int64(len(keys)))
			watch.observe(err)
			return rows, err
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
			rows, err := table.Scan(ctx, prefix, after, limit)
			store.Counter("reads").Inc(int64(len(rows)))
			watch.observe(err)
			return rows, err
		},
	}
	return p
}

// observe notes the result of one call. A conflict or a lost answer is no outage.
func (w *outageRecorder) observe(err error) {
	var unavailable platform.ErrUnavailable
	down := errors.As(err, &unavailable)
	if down {
		w.recordOutage(unavailable)
		return
	}
	if err == nil {
		w.recordRecovery()
	}
}

func (w *outageRecorder) recordOutage(cause platform.ErrUnavailable) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage == "" {
		w.outage = w.recorder.Record(event.Event{Number: event.StoreUnavailable, Detail: cause.Reason})
	}
}

func (w *outageRecorder) recordRecovery() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage != "" {
		w.recorder.Record(event.Event{Number: event.StoreRecovered, Cause: w.outage})
		w.outage = ""
	}
}

// countEvent counts e by its kind.
func countEvent(scope tally.Scope, e event.Event) {
	scope.Tagged(map[string]string{"event": e.Number.String()}).Counter("events").Inc(1)
}
