package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"

	"siskincross/core/route"
	"siskincross/io/platform"
)

const (
	claimPrefix = "request/"
	// sweepRows is the number of rows read at a time, sweepInterval the time between reads of all entry hosts together.
	sweepRows     = 200
	sweepInterval = 10 * time.Second
	// sweepPurpose names the removals in the metric of writes by purpose.
	sweepPurpose = "request-claims-sweep"
)

// sweeper removes claims that are older than they have to be kept. It goes through the
// rows page by page; entry hosts may meet, as every removal names the row's version.
type sweeper struct {
	table     platform.Table
	objects   platform.ObjectStore
	retention time.Duration
	// cursor is the key that the next page follows.
	cursor string
}

// run sweeps until ctx ends. members is the number of entry hosts that share the work.
func (s *sweeper) run(ctx context.Context, members func() int) {
	for {
		pause := sweepInterval * time.Duration(members())
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
			return
		}
		s.sweep(ctx, time.Now())
	}
}

// sweep looks at the next page. What fails is met again in the next pass.
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
		// A conflict or an outage leaves the rows to the next pass.
		_ = s.table.Commit(ctx, tx)
	}
}

// removeObjectsIfExpired reports whether a row may be removed, after it has removed the objects of its answer.
func (s *sweeper) removeObjectsIfExpired(ctx context.Context, row platform.Row, now time.Time) bool {
	var claim route.Claim
	if json.Unmarshal(row.Value, &claim) != nil {
		return false
	}
	if now.Sub(time.UnixMilli(claim.ClaimedMillis)) < s.retention {
		return false
	}
	if claim.Answer == nil || s.objects.Delete == nil {
		return true
	}
	for _, part := range claim.Answer.Parts {
		if s.objects.Delete(ctx, part) != nil {
			return false
		}
	}
	return true
}
