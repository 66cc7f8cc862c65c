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

// outageRecorder records the beginning and the end of outages of the table service.
type outageRecorder struct {
	recorder *timeline.Recorder

	mu sync.Mutex
	// outage is the ID of the event that recorded the current outage. It is empty while the service is available.
	outage event.ID
}

// instrument returns p with a table that counts reads, and writes by purpose, and records its outages.
func instrument(p platform.Services, scope tally.Scope, recorder *timeline.Recorder) platform.Services {
	outages := &outageRecorder{recorder: recorder}
	store := scope.SubScope("store")
	table := p.Table
	p.Table = platform.Table{
		Commit: func(ctx context.Context, tx platform.Transaction) error {
			store.Tagged(map[string]string{"purpose": tx.Purpose}).Counter("writes").Inc(int64(len(tx.Writes)))
			err := table.Commit(ctx, tx)
			outages.observe(err)
			return err
		},
		Read: func(ctx context.Context, keys []string) ([]platform.Row, error) {
			rows, err := table.Read(ctx, keys)
			store.Counter("reads").Inc(int64(len(keys)))
			outages.observe(err)
			return rows, err
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
			rows, err := table.Scan(ctx, prefix, after, limit)
			store.Counter("reads").Inc(int64(len(rows)))
			outages.observe(err)
			return rows, err
		},
	}
	return p
}

// observe updates the outage state from the result of a call. A conflict or an unknown outcome neither begins nor ends
// an outage.
func (o *outageRecorder) observe(err error) {
	var unavailable platform.ErrUnavailable
	down := errors.As(err, &unavailable)
	if down {
		o.recordOutage(unavailable)
		return
	}
	if err == nil {
		o.recordRecovery()
	}
}

// recordOutage records the beginning of an outage unless one is in progress.
func (o *outageRecorder) recordOutage(cause platform.ErrUnavailable) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.outage == "" {
		o.outage = o.recorder.Record(event.Event{Number: event.StoreUnavailable, Detail: cause.Reason})
	}
}

// recordRecovery records the end of the current outage, if there is one.
func (o *outageRecorder) recordRecovery() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.outage != "" {
		o.recorder.Record(event.Event{Number: event.StoreRecovered, Cause: o.outage})
		o.outage = ""
	}
}

// countEvent counts e by its event number.
func countEvent(scope tally.Scope, e event.Event) {
	scope.Tagged(map[string]string{"event": e.Number.String()}).Counter("events").Inc(1)
}
