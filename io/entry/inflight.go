package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"siskincross/core/route"
)

// inflightKey is a key whose request this entry host handles, or whose end it has not written yet.
type inflightKey struct {
	// done is closed once claim holds the last state.
	done chan struct{}
	// claim is valid after ended was closed. A zero claim means that nothing was claimed.
	claim route.Claim
	once  sync.Once
	// removed is closed once the flight was removed.
	removed chan struct{}
}

func (f *inflightKey) setResult(c route.Claim) {
	f.once.Do(func() {
		f.claim = c
		close(f.done)
	})
}

// inflightKeys holds the keys in flight by row key.
type inflightKeys struct {
	mu    sync.Mutex
	byKey map[string]*inflightKey
	// pendingWrites holds the claims whose last state could not be written yet.
	pendingWrites []*claimWriter
}

// flushInterval is the mean time between tries to write postponed states.
const flushInterval = 500 * time.Millisecond

// join returns the key's flight. first tells that the caller began it and must end it.
func (f *inflightKeys) join(key string) (fl *inflightKey, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl := f.byKey[key]; fl != nil {
		return fl, false
	}
	if f.byKey == nil {
		f.byKey = make(map[string]*inflightKey)
	}
	fl = &inflightKey{done: make(chan struct{}), removed: make(chan struct{})}
	f.byKey[key] = fl
	return fl, true
}

// remove ends a flight whose row holds its last state.
func (f *inflightKeys) remove(key string, fl *inflightKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byKey[key] == fl {
		delete(f.byKey, key)
		close(fl.removed)
	}
	fl.setResult(route.Claim{})
}

func (f *inflightKeys) deferWrite(k *claimWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingWrites = append(f.pendingWrites, k)
}

func (f *inflightKeys) takePendingWrites() []*claimWriter {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.pendingWrites
	f.pendingWrites = nil
	return taken
}

// hasUnwritten reports whether a claim's last state is not written yet.
func (f *inflightKeys) hasUnwritten() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byKey) > 0
}

// run writes postponed states until ctx ends. The tries are jittered, so that a store that is back meets no stampede.
func (f *inflightKeys) run(ctx context.Context) {
	for {
		pause := flushInterval/2 + rand.N(flushInterval)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		f.flushPending(ctx)
	}
}

func (f *inflightKeys) flushPending(ctx context.Context) {
	var group sync.WaitGroup
	for _, k := range f.takePendingWrites() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			if !k.writeRow(ctx) {
				f.deferWrite(k)
			}
		})
	}
	group.Wait()
}

func isNotOwned(err error) bool {
	return errors.Is(err, errNotOwned)
}

// retryWithBackoff repeats an operation with jittered pauses until it works or ctx ends.
func retryWithBackoff(ctx context.Context, operation func() error) error {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, operation()
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
	return err
}
