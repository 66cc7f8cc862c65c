package jobs

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"siskincross/io/platform"
)

// retryBackoff computes the jittered exponential delay between attempts of a failing call. A retryBackoff
// with only limit set is ready to use.
type retryBackoff struct {
	limit   time.Duration
	backoff *backoff.ExponentialBackOff
	// nextAttempt is when the next attempt is due.
	nextAttempt time.Time
}

const initialBackoff = 50 * time.Millisecond

// nextDelay returns the delay before the next attempt.
func (r *retryBackoff) nextDelay() time.Duration {
	if r.backoff == nil {
		r.backoff = backoff.NewExponentialBackOff()
		r.backoff.InitialInterval = initialBackoff
		r.backoff.MaxInterval = r.limit
	}
	return min(r.backoff.NextBackOff(), r.limit)
}

// recordFailure delays the next attempt.
func (r *retryBackoff) recordFailure(now time.Time) {
	r.nextAttempt = now.Add(r.nextDelay())
}

// reset clears the delay after a successful attempt.
func (r *retryBackoff) reset() {
	r.backoff = nil
	r.nextAttempt = time.Time{}
}

// commitTransaction commits a transaction within the rate limit of this entry host.
func (m *Manager) commitTransaction(ctx context.Context, tx platform.Transaction) error {
	if err := m.limiter.Wait(ctx); err != nil {
		return platform.ErrUnavailable{Service: "table", Reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	start := time.Now()
	err := m.Platform.Table.Commit(ctx, tx)
	scope := m.scope.Tagged(map[string]string{"purpose": tx.Purpose})
	scope.Counter("commits").Inc(1)
	scope.Counter("writes").Inc(int64(len(tx.Writes)))
	scope.Timer("commit-time").Record(time.Since(start))
	return err
}

// read returns the rows that exist, by key.
func (m *Manager) read(ctx context.Context, keys []string) (map[string]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	m.scope.Counter("reads").Inc(int64(len(keys)))
	list, err := m.Platform.Table.Read(ctx, keys)
	if err != nil {
		return nil, err
	}
	rows := make(map[string]platform.Row, len(list))
	for _, row := range list {
		rows[row.Key] = row
	}
	return rows, nil
}

// scan returns one page of rows.
func (m *Manager) scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	rows, err := m.Platform.Table.Scan(ctx, prefix, after, limit)
	m.scope.Counter("reads").Inc(int64(len(rows)))
	return rows, err
}

// scanPages calls visit for each page of the rows whose keys begin with prefix.
func (m *Manager) scanPages(ctx context.Context, prefix string, visit func(rows []platform.Row) error) error {
	after := ""
	for {
		rows, err := m.scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return err
		}
		if err := visit(rows); err != nil {
			return err
		}
		if len(rows) < scanPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}
