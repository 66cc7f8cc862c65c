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

// errTaken is returned when a key was claimed by another request.
type errTaken struct {
	claim route.Claim
}

// Error implements error.
func (e errTaken) Error() string {
	return fmt.Sprintf("the key is claimed by %s", e.claim.Holder)
}

// errNotHeld is returned when a row is gone or belongs to another claim.
var errNotHeld = errors.New("the row does not belong to the claim")

// rowChange is one change of a claim's row.
type rowChange struct {
	key string
	// claim is the ID of the claim that the change belongs to.
	claim string
	// insert requires that there is no row; else the row must belong to the claim.
	insert bool
	// value is the new content; nil deletes the row.
	value []byte
	// look requires that the row is read before the next commit.
	look bool
	// version is the row's version when it was last read; zero for none.
	version uint64
	// decided tells that done has its error.
	decided bool
	done    chan error
}

// group writes the claims' rows in common commits: one at a time, and not more often than paced.
type group struct {
	table platform.Table
	// pace bounds the commits of this entry host.
	pace *rate.Limiter

	mu      sync.Mutex
	pending []*rowChange
	// kick holds an element while something may be pending.
	kick chan struct{}
}

func newGroup(table platform.Table, perSecond float64) *group {
	return &group{
		table: table,
		pace:  rate.NewLimiter(rate.Limit(perSecond), groupBurst),
		kick:  make(chan struct{}, 1),
	}
}

// write makes a change and waits until it is known to have taken effect or not. It returns
// errTaken, errNotHeld, platform.ErrUnavailable (no effect), or another error when the outcome is unknown.
func (g *group) write(ctx context.Context, c *rowChange) error {
	c.done = make(chan error, 1)
	c.look = !c.insert
	g.mu.Lock()
	g.pending = append(g.pending, c)
	g.mu.Unlock()
	select {
	case g.kick <- struct{}{}:
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
func (g *group) withdraw(c *rowChange) bool {
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
func (g *group) run(ctx context.Context) {
	for {
		select {
		case <-g.kick:
		case <-ctx.Done():
			return
		}
		for g.waiting() && g.pace.Wait(ctx) == nil {
			g.commit(ctx, g.take())
		}
	}
}

func (g *group) waiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending) > 0
}

// take returns the next batch. It is taken only when it may be committed at once, so that it holds all that came meanwhile.
func (g *group) take() []*rowChange {
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
func (g *group) commit(ctx context.Context, batch []*rowChange) {
	err := error(platform.ErrUnavailable{Service: "table", Reason: "others kept writing the same rows"})
	for round := range maxRounds {
		if round > 0 && g.pace.Wait(ctx) != nil {
			break
		}
		if readErr := g.look(ctx, batch); readErr != nil {
			err = worse(err, readErr)
			break
		}
		batch = undecided(batch)
		if len(batch) == 0 {
			return
		}
		err = g.try(ctx, batch)
		if err == nil {
			break
		}
		var unavailable platform.ErrUnavailable
		if errors.As(err, &unavailable) {
			break
		}
		for _, c := range batch {
			c.look = true
		}
	}
	for _, c := range batch {
		c.decide(err)
	}
}

// worse returns the outcome of a commit whose rows could not be read afterwards.
func worse(commit, read error) error {
	var unknown platform.ErrOutcomeUnknown
	if errors.As(commit, &unknown) {
		return commit
	}
	return read
}

// look reads the rows whose state is not known.
func (g *group) look(ctx context.Context, batch []*rowChange) error {
	keys := make([]string, 0, len(batch))
	for _, c := range batch {
		if c.look {
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
		if c.look {
			c.observe(found[c.key])
		}
	}
	return nil
}

func (c *rowChange) decide(err error) {
	c.decided = true
	c.done <- err
}

// observe decides on a change from its row as it stands; a zero row does not exist.
func (c *rowChange) observe(row platform.Row) {
	c.version = row.Version
	var claim route.Claim
	exists := row.Version > 0
	if exists && json.Unmarshal(row.Value, &claim) != nil {
		claim = route.Claim{State: route.ClaimUnknown}
	}
	switch {
	case exists && claim.ID == c.claim && (c.insert || bytes.Equal(row.Value, c.value)):
		c.decide(nil)
	case exists && c.insert:
		c.decide(errTaken{claim})
	case !exists && !c.insert && c.value == nil:
		c.decide(nil)
	case !c.insert && claim.ID != c.claim:
		c.decide(errNotHeld)
	}
}

// undecided returns the changes whose outcome is not known yet.
func undecided(batch []*rowChange) []*rowChange {
	var open []*rowChange
	for _, c := range batch {
		if !c.decided {
			open = append(open, c)
		}
	}
	return open
}

func (g *group) try(ctx context.Context, batch []*rowChange) error {
	tx := platform.Transaction{ID: ulid.Make().String(), Purpose: claimPurpose}
	for _, c := range batch {
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: c.key, Version: c.version})
		tx.Writes = append(tx.Writes, platform.Write{Key: c.key, Value: c.value, Delete: c.value == nil})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return g.table.Commit(ctx, tx)
}
