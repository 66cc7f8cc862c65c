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

// claimPurpose names the claims in the metric of writes by purpose.
const claimPurpose = "request-claims"

const (
	// maxGroupRows and maxGroupBytes bound one commit.
	maxGroupRows  = 256
	maxGroupBytes = 256 * kib
	// maxRounds bounds the commits that one group needs because others write the same rows.
	maxRounds = 16
	// groupBurst is the number of commits that follow each other at once before they are paced.
	groupBurst = 4
	// commitTimeout bounds one call to the table service.
	commitTimeout = 2 * time.Second
)

// keyClaimedError is returned when a key was claimed by another request.
type keyClaimedError struct {
	claim route.Claim
}

// Error implements error.
func (e keyClaimedError) Error() string {
	return fmt.Sprintf("the key is claimed by %s", e.claim.Holder)
}

// errNotOwned is returned when a row is gone or belongs to another claim.
var errNotOwned = errors.New("the row does not belong to the claim")

// rowChange is one change of a claim's row.
type rowChange struct {
	key string
	// claim is the ID of the claim that the change belongs to.
	claim string
	// insert requires that there is no row; else the row must belong to the claim.
	insert bool
	// value is the new content; nil deletes the row.
	value []byte
	// needsRead requires that the row is read before the next commit.
	needsRead bool
	// version is the row's version when it was last read; zero for none.
	version uint64
	// resolved tells that done has its error.
	resolved bool
	done     chan error
}

// groupCommitter writes the claims' rows in common commits: one at a time, and not more often than paced.
type groupCommitter struct {
	table platform.Table
	// limiter bounds the commits of this entry host.
	limiter *rate.Limiter

	mu      sync.Mutex
	pending []*rowChange
	// wakeup holds an element while something may be pending.
	wakeup chan struct{}
}

func newGroupCommitter(table platform.Table, perSecond float64) *groupCommitter {
	return &groupCommitter{
		table:   table,
		limiter: rate.NewLimiter(rate.Limit(perSecond), groupBurst),
		wakeup:  make(chan struct{}, 1),
	}
}

// write makes a change and waits until it is known to have taken effect or not. It returns
// keyClaimedError, errNotOwned, platform.ErrUnavailable (no effect), or another error when the outcome is unknown.
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
			return platform.ErrUnavailable{Service: "table", Reason: "no commit before the deadline"}
		}
		return ctx.Err()
	}
}

// withdraw takes back a change that no commit has been made for yet.
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

// run commits pending changes until ctx ends.
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

// takeBatch returns the next batch. It is taken only when it may be committed at once, so that it holds all that came meanwhile.
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

// commit makes all changes of a batch, in as many rounds as others' writes of the same rows require.
func (g *groupCommitter) commit(ctx context.Context, batch []*rowChange) {
	err := error(platform.ErrUnavailable{Service: "table", Reason: "others kept writing the same rows"})
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

// outcomeAfterFailedRead returns the outcome of a commit whose rows could not be read afterwards.
func outcomeAfterFailedRead(commit, read error) error {
	var unknown platform.ErrOutcomeUnknown
	if errors.As(commit, &unknown) {
		return commit
	}
	return read
}

// readRows reads the rows whose state is not known.
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

func (c *rowChange) resolve(err error) {
	c.resolved = true
	c.done <- err
}

// resolveFromRow decides on a change from its row as it stands; a zero row does not exist.
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

// unresolved returns the changes whose outcome is not known yet.
func unresolved(batch []*rowChange) []*rowChange {
	var open []*rowChange
	for _, c := range batch {
		if !c.resolved {
			open = append(open, c)
		}
	}
	return open
}

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
