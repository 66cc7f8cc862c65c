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

// tenure is the time in which this process holds one duty.
type tenure struct {
	manager *Manager
	name    string
	// epoch is the version of the row that records the takeover; orders carry it as fencing token.
	epoch uint64
	// term counts the takeovers of the duty before this one.
	term int

	ctx    context.Context
	cancel context.CancelFunc
	// done is closed once everything of this tenure has ended.
	done  chan struct{}
	woken chan struct{}
	group sync.WaitGroup
	// run does the duty until ctx ends.
	run func()
}

func newTenure(m *Manager, name string, epoch uint64, term int) *tenure {
	return &tenure{manager: m, name: name, epoch: epoch, term: term, done: make(chan struct{}), woken: make(chan struct{}, 1)}
}

func (t *tenure) start(ctx context.Context) {
	t.ctx, t.cancel = context.WithCancel(ctx)
	go func() {
		defer close(t.done)
		defer t.group.Wait()
		defer t.cancel()
		t.run()
	}()
}

// end ends the tenure.
func (t *tenure) end(reason string) {
	if t.ctx.Err() == nil {
		t.manager.record(event.Event{Number: event.WorkDutyLost, Pool: t.name, Detail: fmt.Sprintf("epoch %d: %s", t.epoch, reason)})
	}
	t.cancel()
}

// ended reports whether everything of the tenure has ended.
func (t *tenure) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

func (t *tenure) wake() {
	select {
	case t.woken <- struct{}{}:
	default:
	}
}

// fence is the expectation that no other member took the duty.
func (t *tenure) fence() platform.RowPrecondition {
	return platform.RowPrecondition{RowKey: reservedKey(t.name, fenceKey), Version: t.epoch}
}

// fenced ends the tenure if a commit failed because another member took the duty.
func (t *tenure) fenced(err error) bool {
	var overtaken platform.ErrVersionMismatch
	if !errors.As(err, &overtaken) {
		return false
	}
	row, ok := overtaken.Find(reservedKey(t.name, fenceKey))
	if !ok || row.Version == t.epoch {
		return false
	}
	t.end("another member's fence is in the store")
	return true
}

// awaitRound waits for a reason to decide again, or for the longest time between two rounds.
func (t *tenure) awaitRound(changed <-chan struct{}, longest time.Duration) bool {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-t.ctx.Done():
		return false
	case <-t.woken:
	case <-changed:
	case <-timer.C:
	}
	return true
}
