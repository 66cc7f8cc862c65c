package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"siskincross/core/route"
	"siskincross/io/platform"
)

const (
	claimPrefix = "request/"
	// sweepRows is the number of rows of a page.
	sweepRows = 200
	// sweepInterval is the mean interval between reads of a page, over all entry hosts.
	sweepInterval = 10 * time.Second
	// sweepPurpose is the label of the deletions in the metric of writes by purpose.
	sweepPurpose = "request-claims-sweep"
)

// sweeper deletes claims that are older than the retention time. It scans the rows page by page. Sweepers of several
// entry hosts may overlap, as each deletion requires the version of the row that was read.
type sweeper struct {
	table     platform.Table
	objects   platform.ObjectStore
	retention time.Duration
	// cursor is the key after which the next page starts.
	cursor string
}

// run sweeps until ctx is done. members returns the number of entry hosts that share the work.
func (s *sweeper) run(ctx context.Context, members func() int) {
	for {
		interval := sweepInterval * time.Duration(members())
		select {
		case <-time.After(interval/2 + rand.N(interval)):
		case <-ctx.Done():
			return
		}
		s.sweep(ctx, time.Now())
	}
}

// sweep scans the next page and deletes its expired claims. Failures are retried in the next pass.
func (s *sweeper) sweep(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, sweepInterval)
	defer cancel()
	rows, err := s.table.Scan(ctx, claimPrefix, s.cursor, sweepRows)
	if err != nil {
		return
	}
	s.cursor = ""
	if len(rows) == sweepRows {
		s.cursor = rows[len(rows)-1].Key
	}
	tx := platform.Transaction{ID: ulid.Make().String(), Purpose: sweepPurpose}
	for _, row := range rows {
		if !s.removeObjectsIfExpired(ctx, row, now) {
			continue
		}
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	if len(tx.Writes) > 0 {
		// After a conflict or an outage, the rows are handled in the next pass.
		_ = s.table.Commit(ctx, tx)
	}
}

// removeObjectsIfExpired deletes the objects of a claim that has expired, and reports whether its row may be deleted.
func (s *sweeper) removeObjectsIfExpired(ctx context.Context, row platform.Row, now time.Time) bool {
	var claim route.Claim
	if json.Unmarshal(row.Value, &claim) != nil {
		return false
	}
	if now.Sub(time.UnixMilli(claim.ClaimedMillis)) < s.retention {
		return false
	}
	if s.objects.Delete == nil {
		return true
	}
	var parts []string
	if claim.Answer != nil {
		parts = claim.Answer.ObjectNames
	} else {
		var err error
		if parts, err = s.findParts(ctx, claim.ID); err != nil {
			return false
		}
	}
	// The last part is deleted first, so that the next pass finds the others after a failure.
	for _, part := range slices.Backward(parts) {
		if err := s.objects.Delete(ctx, part); err != nil && !isMissing(err) {
			return false
		}
	}
	return true
}

// findParts returns the parts that were stored of a response that was not received in full.
func (s *sweeper) findParts(ctx context.Context, claim string) ([]string, error) {
	var parts []string
	if s.objects.Get == nil {
		return nil, nil
	}
	for {
		name := partName(claim, len(parts))
		if _, err := s.objects.Get(ctx, name); isMissing(err) {
			return parts, nil
		} else if err != nil {
			return nil, err
		}
		parts = append(parts, name)
	}
}

func isMissing(err error) bool {
	var missing platform.ErrNotFound
	return errors.As(err, &missing)
}
