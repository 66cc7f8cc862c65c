package runner

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/work"
	"siskincross/io/platform"
)

// TestWithdrawnOrderIsNotSent guards against orders that a slow entry host sends although the scheduler no longer wants them: a start
// of a run that has ended since could be carried out by a later process of the worker.
func TestWithdrawnOrderIsNotSent(t *testing.T) {
	for kind, expected := range map[work.OrderKind]int{work.OrderStart: 0, work.OrderStop: 1} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			sent := 0
			m := &Manager{Executors: platform.Executors{SendOrder: func(context.Context, work.Order) work.OrderResult {
				sent++
				return work.OrderResult{}
			}}}
			h := &poolHolder{tenure: newTenure(m, "pool", 1, 0), pool: "pool", scheduler: &work.Scheduler{Pool: "pool", Epoch: 1}}
			h.ctx, h.cancel = context.WithCancel(context.Background())
			defer h.cancel()
			h.executeOrder(work.Order{Kind: kind, Endpoint: work.Endpoint{Incarnation: work.Incarnation{Worker: "gone", StartMillis: 1}}})
			is.Equal(sent, expected)
		})
	}
}
