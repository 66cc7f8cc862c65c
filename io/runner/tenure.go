package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/io/platform"
)

// tenure is the period in which this process holds one duty.
type tenure struct {
	manager *Manager
	name    string
	// epoch is the version of the row that records the takeover. Orders carry it as their fencing token.
	epoch uint64
	// term is the number of takeovers of the duty before this one.
	term int

	ctx    context.Context
	cancel context.CancelFunc
	// done is closed once all goroutines of the tenure have ended.
	done chan struct{}
	// wakeups receives a value when a new decision round is due.
	wakeups chan struct{}
	group   sync.WaitGroup
	// run carries out the duty until ctx ends.
	run func()
}

func newTenure(m *Manager, name string, epoch uint64, term int) *tenure {
	return &tenure{manager: m, name: name, epoch: epoch, term: term, done: make(chan struct{}), wakeups: make(chan struct{}, 1)}
}

// start runs the duty in a new goroutine.
func (t *tenure) start(ctx context.Context) {
	t.ctx, t.cancel = context.WithCancel(ctx)
	go func() {
		defer close(t.done)
		defer t.group.Wait()
		defer t.cancel()
		t.run()
	}()
}

// end ends the tenure. The reason is recorded if the tenure had not ended before.
func (t *tenure) end(reason string) {
	if t.ctx.Err() == nil {
		t.manager.record(event.Event{Number: event.WorkDutyLost, Pool: t.name, Detail: fmt.Sprintf("epoch %d: %s", t.epoch, reason)})
	}
	t.cancel()
}

// ended reports whether all goroutines of the tenure have ended.
func (t *tenure) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// wake makes a new decision round due.
func (t *tenure) wake() {
	select {
	case t.wakeups <- struct{}{}:
	default:
	}
}

// fencePrecondition returns the precondition that no other member has taken the duty.
func (t *tenure) fencePrecondition() platform.RowPrecondition {
	return platform.RowPrecondition{RowKey: reservedKey(t.name, fenceKey), Version: t.epoch}
}

// endIfFenced ends the tenure if a commit failed because another member has taken the duty. It reports whether that
// was so.
func (t *tenure) endIfFenced(err error) bool {
	var conflict platform.ErrVersionMismatch
	if !errors.As(err, &conflict) {
		return false
	}
	row, ok := conflict.Find(reservedKey(t.name, fenceKey))
	if !ok || row.Version == t.epoch {
		return false
	}
	t.end("the fence row in the store is of another member")
	return true
}

// awaitNextRound waits until changed is closed, the tenure is woken or the longest time has passed. It reports false
// if the tenure has ended.
func (t *tenure) awaitNextRound(changed <-chan struct{}, longest time.Duration) bool {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-t.ctx.Done():
		return false
	case <-t.wakeups:
	case <-changed:
	case <-timer.C:
	}
	return true
}
