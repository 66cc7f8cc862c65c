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
	// keptVersions is the length of the history that is kept.
	keptVersions = 50_000
	// pruneInterval is how often older versions are looked for.
	pruneInterval = 10 * time.Minute
	// pruneBatch bounds the versions that are removed at once.
	pruneBatch = 100
)

// pruneAll removes old versions from time to time, on the entry host that commits for all.
func (m *Manager) pruneAll(ctx context.Context) error {
	for pause(ctx, jitter(pruneInterval)) {
		if m.committer() != m.Member {
			continue
		}
		if err := m.prune(ctx); err != nil {
			m.scope().Counter("failed-prunes").Inc(1)
		}
	}
	return nil
}

// prune removes the versions that are no longer kept, but never an
// organisation's newest, from which conflicts and rollbacks are worked out.
func (m *Manager) prune(ctx context.Context) error {
	h, _, err := m.readHead(ctx)
	if err != nil || h.Version <= keptVersions {
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
			if r.Version > h.Version-keptVersions {
				return nil
			}
			if newest[r.Version] {
				continue
			}
			if err := m.remove(ctx, r, rows[i]); err != nil {
				return err
			}
		}
		if len(rows) == 0 {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// remove deletes the objects of a version before its row, so that an interrupted
// removal is found again.
func (m *Manager) remove(ctx context.Context, r Record, row platform.Row) error {
	for _, object := range []string{sourcePrefix + r.Change, r.Object} {
		if object == "" {
			continue
		}
		var missing platform.ErrNotFound
		if err := m.Objects.Delete(ctx, object); err != nil && !errors.As(err, &missing) {
			return errors.Wrapf(err, "delete %s", object)
		}
	}
	tx := platform.Transaction{
		ID:            ulid.Make().String(),
		Preconditions: []platform.Precondition{{Key: row.Key, Version: row.Version}},
		Writes:        []platform.Write{{Key: row.Key, Delete: true}},
		Purpose:       "config-prune",
	}
	return errors.Wrapf(m.Table.Commit(ctx, tx), "remove version %d", r.Version)
}
