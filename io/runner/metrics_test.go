package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"siskincross/core/work"
)

// TestStartLimitIsReported guards against a pool whose starts are held back without a figure that tells so.
func TestStartLimitIsReported(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	m := &Manager{scope: scope}
	h := &poolHolder{tenure: newTenure(m, "pool", 1, 0), pool: "pool", scheduler: &work.Scheduler{Pool: "pool", Epoch: 1}}
	h.reportLoad(time.Now())
	gauge, ok := scope.Snapshot().Gauges()["start_limit+pool=pool"]
	is.True(ok)
	is.Equal(gauge.Value(), 100.0)
}
