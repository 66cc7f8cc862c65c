package platform

import (
	"cmp"
	"context"
)

const (
	// mostPage is the most rows that the service returns at once.
	mostPage = 500
	// leastPage is the fewest rows that are asked for after pages did not arrive.
	leastPage = 30
)

// Reading reads all rows of a part between two keys, page by page. After a failure it goes on from the page that it has reached, and
// asks for half as many rows.
type Reading struct {
	// Query is the range. Its Purpose names the mechanism that reads.
	Query Range
	// Rows holds what has been read, Version is that of the first page: changes since then may be missing.
	Rows    []PartRow
	Version uint64

	started, complete bool
	from              string
	limit             int
}

// Continue reads until all rows are read or a page fails.
func (r *Reading) Continue(ctx context.Context, rows Rows) error {
	for !r.complete {
		q := r.Query
		q.Limit = r.limit
		if r.started {
			q.From = r.from
		}
		page, err := rows.Range(ctx, q)
		if err != nil {
			r.limit = max(leastPage, cmp.Or(r.limit, mostPage)/2)
			return err
		}
		r.take(page)
	}
	return nil
}

func (r *Reading) take(page Page) {
	if !r.started {
		r.started, r.Version = true, page.Version
	}
	if r.limit > 0 {
		r.limit = min(2*r.limit, mostPage)
	}
	r.Rows = append(r.Rows, page.Rows...)
	if !page.More || len(page.Rows) == 0 {
		r.complete = true
		return
	}
	r.from = page.Rows[len(page.Rows)-1].Key + "\x00"
}
