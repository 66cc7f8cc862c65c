package jobs

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"siskincross/io/platform"
)

// retry spaces the attempts of a failing call with jitter. The zero value with a limit works.
type retry struct {
	limit   time.Duration
	backoff *backoff.ExponentialBackOff
	// until is when the next attempt is due.
	until time.Time
}

const firstBackoff = 50 * time.Millisecond

// next returns the wait before the next attempt.
func (r *retry) next() time.Duration {
	if r.backoff == nil {
		r.backoff = backoff.NewExponentialBackOff()
		r.backoff.InitialInterval = firstBackoff
		r.backoff.MaxInterval = r.limit
	}
	return min(r.backoff.NextBackOff(), r.limit)
}

// failed puts off the next attempt.
func (r *retry) failed(now time.Time) {
	r.until = now.Add(r.next())
}

// succeeded forgets the failures.
func (r *retry) succeeded() {
	r.backoff = nil
	r.until = time.Time{}
}

// commitOnce sends a transaction within the rate of this entry host.
func (m *Manager) commitOnce(ctx context.Context, tx platform.Transaction) error {
	if err := m.limiter.Wait(ctx); err != nil {
		return platform.ErrUnavailable{Service: "table", Reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, m.periods.StoreTimeout)
	defer cancel()
	start := time.Now()
	err := m.Platform.Table.Commit(ctx, tx)
	scope := m.scope.Tagged(map[string]string{"purpose": tx.Purpose})
	scope.Counter("commits").Inc(1)
	scope.Counter("writes").Inc(int64(len(tx.Writes)))
	scope.Timer("commit-time").Record(time.Since(start))
	return err
}

// read returns the rows of the keys that exist.
func (m *Manager) read(ctx context.Context, keys []string) (map[string]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.periods.StoreTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, m.periods.StoreTimeout)
	defer cancel()
	rows, err := m.Platform.Table.Scan(ctx, prefix, after, limit)
	m.scope.Counter("reads").Inc(int64(len(rows)))
	return rows, err
}

// scanPages calls visit with all rows whose keys begin with prefix, page by page.
func (m *Manager) scanPages(ctx context.Context, prefix string, visit func(rows []platform.Row) error) error {
	after := ""
	for {
		rows, err := m.scan(ctx, prefix, after, scanPage)
		if err != nil {
			return err
		}
		if err := visit(rows); err != nil {
			return err
		}
		if len(rows) < scanPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}
