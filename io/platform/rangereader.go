package platform

import (
	"cmp"
	"context"
)

const (
	// maxPageRows is the maximum number of rows that the service returns in one page.
	maxPageRows = 500
	// minPageRows is the smallest page that is requested after failed reads.
	minPageRows = 30
)

// RangeReader reads all rows of a range page by page. After a failed page it resumes behind the last page that arrived, with half as many
// rows a page. The page size doubles again with each page that arrives.
type RangeReader struct {
	// Query is the range to read. Its Limit is ignored.
	Query RangeQuery
	// Rows holds the rows read so far. Version is the lowest version of a page, which need not be that of the first one; Rows
	// may lack later changes.
	Rows    []VersionedRow
	Version uint64

	started, complete bool
	// from is the key to resume from once a page has arrived.
	from string
	// limit is the number of rows to request; zero means the service's default.
	limit int
}

// ReadRemaining reads until the range is complete or a page fails. It may be called again after an error.
func (r *RangeReader) ReadRemaining(ctx context.Context, rows RowStore) error {
	for !r.complete {
		q := r.Query
		q.Limit = r.limit
		if r.started {
			q.From = r.from
		}
		page, err := rows.ReadRange(ctx, q)
		if err != nil {
			r.limit = max(minPageRows, cmp.Or(r.limit, maxPageRows)/2)
			return err
		}
		r.addPage(page)
	}
	return nil
}

// addPage appends a page and prepares the query for the next one.
func (r *RangeReader) addPage(page Page) {
	if !r.started || page.Version < r.Version {
		r.started, r.Version = true, page.Version
	}
	if r.limit > 0 {
		r.limit = min(2*r.limit, maxPageRows)
	}
	r.Rows = append(r.Rows, page.Rows...)
	if !page.More || len(page.Rows) == 0 {
		r.complete = true
		return
	}
	r.from = page.Rows[len(page.Rows)-1].Key + "\x00"
}
