package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"siskincross/core/config"
	"siskincross/io/platform"
)

const (
	// maxKeptVersions is the number of newest versions that are kept in the history.
	maxKeptVersions = 50_000
	// pruneInterval is the interval between searches for older versions.
	pruneInterval = 10 * time.Minute
	// pruneBatch bounds the versions that one scan reads.
	pruneBatch = 100
)

// prunePeriodically removes old versions until ctx ends. Only the committer does so.
func (m *Manager) prunePeriodically(ctx context.Context) error {
	for sleep(ctx, jitter(pruneInterval)) {
		if m.committer() != m.Member {
			continue
		}
		if err := m.prune(ctx); err != nil {
			m.scope().Counter("failed-prunes").Inc(1)
		}
	}
	return nil
}

// prune removes versions that are no longer kept. It never removes the newest version of an
// organisation, which conflicts and rollbacks need.
func (m *Manager) prune(ctx context.Context) error {
	h, _, err := m.readHead(ctx)
	if err != nil || h.Version <= maxKeptVersions {
		return err
	}
	newest := make(map[config.Version]bool)
	for _, o := range h.Organisations {
		newest[o.Version] = true
	}
	after := versionPrefix
	for {
		rows, err := m.Table.Scan(ctx, versionPrefix, after, pruneBatch)
		if err != nil {
			return errors.Wrap(err, "read the history")
		}
		records, err := decodeRecords(rows)
		if err != nil {
			return err
		}
		for i, r := range records {
			if r.Version > h.Version-maxKeptVersions {
				return nil
			}
			if newest[r.Version] {
				continue
			}
			if err := m.deleteVersion(ctx, r, rows[i]); err != nil {
				return err
			}
		}
		if len(rows) == 0 {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// deleteVersion deletes the objects of a version before its row, so that the next pass
// finds a version whose removal was interrupted.
func (m *Manager) deleteVersion(ctx context.Context, r Record, row platform.Row) error {
	for _, object := range []string{sourcePrefix + r.Change, r.Object} {
		if object == "" {
			continue
		}
		var missing platform.ErrNotFound
		if err := m.Objects.Delete(ctx, object); err != nil && !errors.As(err, &missing) {
			return errors.Wrapf(err, "delete object %s", object)
		}
	}
	tx := platform.Transaction{
		ID:            ulid.Make().String(),
		Preconditions: []platform.Precondition{{Key: row.Key, Version: row.Version}},
		Writes:        []platform.Write{{Key: row.Key, Delete: true}},
		Purpose:       "config-prune",
	}
	return errors.Wrapf(m.Table.Commit(ctx, tx), "delete the row of version %d", r.Version)
}
