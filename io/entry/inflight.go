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

// flight is a key whose request this entry host handles, or whose end it has not written yet.
type flight struct {
	// ended is closed once claim holds the last state.
	ended chan struct{}
	// claim is valid after ended was closed. A zero claim means that nothing was claimed.
	claim route.Claim
	once  sync.Once
	// gone is closed once the flight was removed.
	gone chan struct{}
}

func (f *flight) conclude(c route.Claim) {
	f.once.Do(func() {
		f.claim = c
		close(f.ended)
	})
}

// flights holds the keys in flight by row key.
type flights struct {
	mu    sync.Mutex
	byKey map[string]*flight
	// postponed holds the claims whose last state could not be written yet.
	postponed []*keeper
}

// settleInterval is the mean time between tries to write postponed states.
const settleInterval = 500 * time.Millisecond

// join returns the key's flight. first tells that the caller began it and must end it.
func (f *flights) join(key string) (fl *flight, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl := f.byKey[key]; fl != nil {
		return fl, false
	}
	if f.byKey == nil {
		f.byKey = make(map[string]*flight)
	}
	fl = &flight{ended: make(chan struct{}), gone: make(chan struct{})}
	f.byKey[key] = fl
	return fl, true
}

// remove ends a flight whose row holds its last state.
func (f *flights) remove(key string, fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byKey[key] == fl {
		delete(f.byKey, key)
		close(fl.gone)
	}
	fl.conclude(route.Claim{})
}

func (f *flights) postpone(k *keeper) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.postponed = append(f.postponed, k)
}

func (f *flights) takePostponed() []*keeper {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.postponed
	f.postponed = nil
	return taken
}

// unsettled reports whether a claim's last state is not written yet.
func (f *flights) unsettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byKey) > 0
}

// run writes postponed states until ctx ends. The tries are jittered, so that a store that is back meets no stampede.
func (f *flights) run(ctx context.Context) {
	for {
		pause := settleInterval/2 + rand.N(settleInterval)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		f.settle(ctx)
	}
}

func (f *flights) settle(ctx context.Context) {
	var group sync.WaitGroup
	for _, k := range f.takePostponed() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, keepTimeout)
			defer cancel()
			if !k.write(ctx) {
				f.postpone(k)
			}
		})
	}
	group.Wait()
}

func isNotHeld(err error) bool {
	return errors.Is(err, errNotHeld)
}

// retryBriefly repeats an operation with jittered pauses until it works or ctx ends.
func retryBriefly(ctx context.Context, operation func() error) error {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, operation()
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
	return err
}
