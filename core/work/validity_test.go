package work_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
)

// TestValidity guards against a process that was paused, or cut off, and then grants leases or starts tasks by a duty that another one
// may have taken meanwhile.
func TestValidity(t *testing.T) {
	is := is.New(t)
	p := newCrashPool(t, 2)
	p.run(time.Second)
	p.add("j", 4)
	p.scheduler.SetValidity(p.now.Add(-time.Millisecond))
	is.Equal(len(p.scheduler.Schedule(p.now, p.now)), 0)
	inc := p.workers[0].info.Incarnation
	renewal, ok := p.scheduler.PrepareRenewal(inc, 0, p.now)
	is.True(ok)
	is.Equal(renewal.LeaseDeadline, time.Duration(0))

	p.scheduler.SetValidity(p.now.Add(time.Second))
	orders := p.scheduler.Schedule(p.now, p.now)
	is.Equal(len(orders), 4)
	p.scheduler.SetValidity(p.now.Add(-time.Millisecond))
	for _, o := range orders {
		is.True(!p.scheduler.ConfirmOrder(o, p.now)) // it was decided before the pause
	}
	is.Equal(p.starts[work.TaskID{Job: "j"}], 0)
}
