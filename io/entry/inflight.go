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

// inflightKey is an Idempotency-Key whose request this entry host is serving, or whose final claim it has yet to
// write.
type inflightKey struct {
	// done is closed once claim holds the final state.
	done chan struct{}
	// claim may be read after done is closed. A zero claim means that the key was not claimed.
	claim route.Claim
	once  sync.Once
	// removed is closed once the key is no longer in flight.
	removed chan struct{}
}

// setResult sets the final claim. Calls after the first have no effect.
func (k *inflightKey) setResult(c route.Claim) {
	k.once.Do(func() {
		k.claim = c
		close(k.done)
	})
}

// inflightKeys holds the keys in flight of this entry host.
type inflightKeys struct {
	mu sync.Mutex
	// byKey is indexed by the key of the claim's row.
	byKey map[string]*inflightKey
	// pendingWrites holds the claims whose final state could not be written yet.
	pendingWrites []*claimWriter
}

// flushInterval is the mean interval between attempts to write pending claims.
const flushInterval = 500 * time.Millisecond

// join returns the in-flight entry of a key and creates it if there is none. If first is true, the entry is new and
// the caller must serve the request and see that the entry is removed.
func (f *inflightKeys) join(key string) (entry *inflightKey, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if entry := f.byKey[key]; entry != nil {
		return entry, false
	}
	if f.byKey == nil {
		f.byKey = make(map[string]*inflightKey)
	}
	entry = &inflightKey{done: make(chan struct{}), removed: make(chan struct{})}
	f.byKey[key] = entry
	return entry, true
}

// remove removes a key whose row holds its final state, or which was not claimed.
func (f *inflightKeys) remove(key string, entry *inflightKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byKey[key] == entry {
		delete(f.byKey, key)
		close(entry.removed)
	}
	entry.setResult(route.Claim{})
}

// deferWrite leaves the write of a final claim to run.
func (f *inflightKeys) deferWrite(k *claimWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingWrites = append(f.pendingWrites, k)
}

func (f *inflightKeys) takePendingWrites() []*claimWriter {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.pendingWrites
	f.pendingWrites = nil
	return pending
}

// hasUnwritten reports whether the final state of any claim has yet to be written.
func (f *inflightKeys) hasUnwritten() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byKey) > 0
}

// run writes pending claims until ctx is done. The interval is jittered, so that a recovering store is not hit by all
// entry hosts at once.
func (f *inflightKeys) run(ctx context.Context) {
	for {
		interval := flushInterval/2 + rand.N(flushInterval)
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
		f.flushPending(ctx)
	}
}

// flushPending tries once to write each pending claim.
func (f *inflightKeys) flushPending(ctx context.Context) {
	var writes sync.WaitGroup
	for _, k := range f.takePendingWrites() {
		writes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			if !k.writeRow(ctx) {
				f.deferWrite(k)
			}
		})
	}
	writes.Wait()
}

func isNotOwned(err error) bool {
	return errors.Is(err, errNotOwned)
}

// retryWithBackoff retries an operation with jittered exponential backoff until it succeeds or ctx is done.
func retryWithBackoff(ctx context.Context, operation func() error) error {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, operation()
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
	return err
}
