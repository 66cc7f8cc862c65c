package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/time/rate"

	"siskincross/core/route"
	"siskincross/io/platform"
)

// claimPurpose is the label of claims in the metric of writes by purpose.
const claimPurpose = "request-claims"

const (
	// maxGroupRows and maxGroupBytes bound the size of one commit.
	maxGroupRows  = 256
	maxGroupBytes = 256 * kib
	// maxRounds bounds the commits of one batch, which is retried after conflicts with other writers of its rows.
	maxRounds = 16
	// groupBurst is the number of commits that are allowed in a burst by the rate limiter.
	groupBurst = 4
	// commitTimeout bounds one call to the table service.
	commitTimeout = 2 * time.Second
)

// keyClaimedError is returned when another request has claimed the key.
type keyClaimedError struct {
	claim route.Claim
}

// Error implements error.
func (e keyClaimedError) Error() string {
	return fmt.Sprintf("key is claimed by %s", e.claim.Holder)
}

// errNotOwned is returned when a row was deleted or belongs to another claim.
var errNotOwned = errors.New("row does not belong to the claim")

// rowChange is an insertion, update or deletion of a claim's row.
type rowChange struct {
	key string
	// claim is the ID of the claim that the change belongs to.
	claim string
	// insert requires that the row doesn't exist. Without it, the row must belong to the claim.
	insert bool
	// value is the new value of the row; nil deletes the row.
	value []byte
	// needsRead is set if the row must be read before the next commit.
	needsRead bool
	// version is the version of the row when it was last read; 0 if the row didn't exist.
	version uint64
	// resolved is set once the outcome was sent on done.
	resolved bool
	done     chan error
}

// groupCommitter writes the rows of claims by group commit: it collects pending changes into one transaction, commits
// one transaction at a time, and limits the rate of commits.
type groupCommitter struct {
	table platform.Table
	// limiter limits the rate of this entry host's commits.
	limiter *rate.Limiter

	mu      sync.Mutex
	pending []*rowChange
	// wakeup holds an element while there may be pending changes.
	wakeup chan struct{}
}

func newGroupCommitter(table platform.Table, perSecond float64) *groupCommitter {
	return &groupCommitter{
		table:   table,
		limiter: rate.NewLimiter(rate.Limit(perSecond), groupBurst),
		wakeup:  make(chan struct{}, 1),
	}
}

// write commits a change and waits for its outcome. It returns keyClaimedError, errNotOwned or
// platform.ErrUnavailable if the change had no effect, and another error if its outcome is unknown.
func (g *groupCommitter) write(ctx context.Context, c *rowChange) error {
	c.done = make(chan error, 1)
	c.needsRead = !c.insert
	g.mu.Lock()
	g.pending = append(g.pending, c)
	g.mu.Unlock()
	select {
	case g.wakeup <- struct{}{}:
	default:
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		if g.withdraw(c) {
			return platform.ErrUnavailable{Service: "table", Reason: "change was not committed before the deadline"}
		}
		return ctx.Err()
	}
}

// withdraw removes a change that is not part of a commit yet, and reports whether it could.
func (g *groupCommitter) withdraw(c *rowChange) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.pending {
		if other == c {
			g.pending = append(g.pending[:i], g.pending[i+1:]...)
			return true
		}
	}
	return false
}

// run commits pending changes until ctx is done.
func (g *groupCommitter) run(ctx context.Context) {
	for {
		select {
		case <-g.wakeup:
		case <-ctx.Done():
			return
		}
		for g.hasPending() && g.limiter.Wait(ctx) == nil {
			g.commit(ctx, g.takeBatch())
		}
	}
}

func (g *groupCommitter) hasPending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending) > 0
}

// takeBatch removes and returns the next batch. It is called when the limiter allows the commit, so that the batch
// includes all changes that were added during the wait.
func (g *groupCommitter) takeBatch() []*rowChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, size := 0, 0
	for n < len(g.pending) && n < maxGroupRows && size < maxGroupBytes {
		size += len(g.pending[n].value)
		n++
	}
	batch := append([]*rowChange(nil), g.pending[:n]...)
	g.pending = append(g.pending[:0], g.pending[n:]...)
	return batch
}

// commit commits all changes of a batch. It retries after conflicts with other writers, in at most maxRounds rounds.
func (g *groupCommitter) commit(ctx context.Context, batch []*rowChange) {
	err := error(platform.ErrUnavailable{Service: "table", Reason: "repeated conflicts with other writers of the same rows"})
	for round := range maxRounds {
		if round > 0 && g.limiter.Wait(ctx) != nil {
			break
		}
		if readErr := g.readRows(ctx, batch); readErr != nil {
			err = outcomeAfterFailedRead(err, readErr)
			break
		}
		batch = unresolved(batch)
		if len(batch) == 0 {
			return
		}
		err = g.commitOnce(ctx, batch)
		if err == nil {
			break
		}
		var unavailable platform.ErrUnavailable
		if errors.As(err, &unavailable) {
			break
		}
		for _, c := range batch {
			c.needsRead = true
		}
	}
	for _, c := range batch {
		c.resolve(err)
	}
}

// outcomeAfterFailedRead returns the error of a batch whose rows could not be read after the commit error commit.
func outcomeAfterFailedRead(commit, read error) error {
	var unknown platform.ErrOutcomeUnknown
	if errors.As(commit, &unknown) {
		return commit
	}
	return read
}

// readRows reads the rows of the changes with needsRead.
func (g *groupCommitter) readRows(ctx context.Context, batch []*rowChange) error {
	keys := make([]string, 0, len(batch))
	for _, c := range batch {
		if c.needsRead {
			keys = append(keys, c.key)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rows, err := g.table.Read(ctx, keys)
	if err != nil {
		return platform.ErrUnavailable{Service: "table", Reason: err.Error()}
	}
	found := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	for _, c := range batch {
		if c.needsRead {
			c.resolveFromRow(found[c.key])
		}
	}
	return nil
}

// resolve sends the outcome to the writer of the change.
func (c *rowChange) resolve(err error) {
	c.resolved = true
	c.done <- err
}

// resolveFromRow resolves a change whose outcome follows from the current row. A row with version 0 doesn't exist.
func (c *rowChange) resolveFromRow(row platform.Row) {
	c.version = row.Version
	var claim route.Claim
	exists := row.Version > 0
	if exists && json.Unmarshal(row.Value, &claim) != nil {
		claim = route.Claim{State: route.ClaimUnknown}
	}
	switch {
	case exists && claim.ID == c.claim && (c.insert || bytes.Equal(row.Value, c.value)):
		c.resolve(nil)
	case exists && c.insert:
		c.resolve(keyClaimedError{claim})
	case !exists && !c.insert && c.value == nil:
		c.resolve(nil)
	case !c.insert && claim.ID != c.claim:
		c.resolve(errNotOwned)
	}
}

// unresolved returns the changes that have no outcome yet.
func unresolved(batch []*rowChange) []*rowChange {
	var rest []*rowChange
	for _, c := range batch {
		if !c.resolved {
			rest = append(rest, c)
		}
	}
	return rest
}

// commitOnce commits the batch in one transaction that requires the versions last read.
func (g *groupCommitter) commitOnce(ctx context.Context, batch []*rowChange) error {
	tx := platform.Transaction{ID: ulid.Make().String(), Purpose: claimPurpose}
	for _, c := range batch {
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: c.key, Version: c.version})
		tx.Writes = append(tx.Writes, platform.Write{Key: c.key, Value: c.value, Delete: c.value == nil})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return g.table.Commit(ctx, tx)
}
