package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/io/platform"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff between attempts to use the stores.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

// retry repeats an idempotent call with exponential backoff until it succeeds or ctx ends.
func (m *Manager) retry(ctx context.Context, call func(ctx context.Context) error) error {
	backOff := newBackOff()
	for {
		bounded, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
		err := call(bounded)
		cancel()
		if err == nil || !sleep(ctx, backOff.NextBackOff()) {
			return err
		}
	}
}

// runCommitter commits the pending changes, one batch at a time, until ctx ends.
func (m *Manager) runCommitter(ctx context.Context) error {
	for {
		batch := m.takePending()
		if len(batch) > 0 {
			m.commitBatch(ctx, batch)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		}
	}
}

// commitBatch attempts to commit the changes until each of them has a result. Every attempt
// first reads the head, which resolves an earlier attempt of unknown outcome, and is
// conditional on the version of the head that it read. A change is therefore committed at
// most once, even if a commit that seemed lost takes effect late.
func (m *Manager) commitBatch(ctx context.Context, batch []*request) {
	backOff := newBackOff()
	for {
		batch = m.withoutAbandoned(ctx, batch)
		if len(batch) == 0 {
			return
		}
		var err error
		batch, err = m.attemptCommit(ctx, batch)
		if err != nil && len(batch) > 0 {
			sleep(ctx, backOff.NextBackOff())
		}
	}
}

// withoutAbandoned returns the changes whose callers still wait. When the manager stops it
// returns none, because the callers then abandon their changes themselves.
func (m *Manager) withoutAbandoned(ctx context.Context, batch []*request) []*request {
	if ctx.Err() != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var rest []*request
	for _, r := range batch {
		if !r.abandoned {
			rest = append(rest, r)
		}
	}
	return rest
}

// attemptCommit reads the head, answers the changes that it resolves and commits the
// others. It returns the changes that have no result yet.
func (m *Manager) attemptCommit(ctx context.Context, batch []*request) ([]*request, error) {
	h, rowVersion, err := m.readHead(ctx)
	if err != nil {
		return batch, err
	}
	if h.Version < m.Current().Version {
		return batch, errors.Newf("read a stale head with version %d", h.Version)
	}
	batch, err = m.resolveBatch(ctx, h, batch)
	if err != nil || len(batch) == 0 {
		return batch, err
	}
	base, _, err := m.getExpanded(ctx, h)
	if err != nil {
		return batch, err
	}
	batch = m.claim(batch)
	if len(batch) == 0 {
		return nil, nil
	}
	next, err := m.prepareBatch(h, base, batch)
	if err == nil {
		err = m.putExpanded(ctx, next)
	}
	if err != nil {
		m.releaseClaims(batch, false)
		return batch, err
	}
	if err := m.commit(ctx, next, rowVersion); err != nil {
		m.releaseClaims(batch, !knownNotCommitted(err))
		return batch, err
	}
	m.completeBatch(next, batch)
	return nil, nil
}

// knownNotCommitted reports whether a failed commit is known to have had no effect.
func knownNotCommitted(err error) bool {
	var conflict platform.ErrConflict
	var unavailable platform.ErrUnavailable
	return errors.As(err, &conflict) || errors.As(err, &unavailable)
}

// preparedBatch holds everything that the commit of a batch writes.
type preparedBatch struct {
	head     head
	records  []Record
	expanded config.Expanded
	content  []byte
}

// prepareBatch assigns each change a version of its own. Only the last version of a batch
// becomes the head, so only that one is stored in expanded form.
func (m *Manager) prepareBatch(h head, base config.Expanded, batch []*request) (preparedBatch, error) {
	next := preparedBatch{head: h, expanded: base}
	version := h.Version + config.Version(len(batch))
	object := fmt.Sprintf("%s%020d-%s", expandedPrefix, version, ulid.Make())
	for i, r := range batch {
		v := h.Version + config.Version(i+1)
		next.head = next.head.withChange(r.change, v, object)
		next.expanded = next.expanded.WithOrganisation(r.change.Organisation, r.expanded).WithVersion(v)
		next.records = append(next.records, Record{
			Version: v, Organisation: r.change.Organisation, From: r.change.From, Change: r.change.ID,
			Restores: r.change.Restores, Member: m.Member, Time: time.Now().UTC(),
		})
	}
	next.records[len(batch)-1].Object = object
	var err error
	next.content, err = marshalCompressed(next.expanded)
	return next, err
}

// putExpanded stores the expanded configuration before the head refers to it.
func (m *Manager) putExpanded(ctx context.Context, next preparedBatch) error {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	return errors.Wrap(m.Objects.Put(ctx, next.head.Object, next.content), "store the expanded configuration")
}

// commit writes the head and the records, on the condition that the version of the head row
// is rowVersion.
func (m *Manager) commit(ctx context.Context, next preparedBatch, rowVersion uint64) error {
	tx := platform.Transaction{
		ID:            ulid.Make().String(),
		Preconditions: []platform.Precondition{{Key: headKey, Version: rowVersion}},
		Purpose:       "config",
	}
	value, err := json.Marshal(next.head)
	if err != nil {
		return errors.Wrap(err, "encode the head")
	}
	tx.Writes = append(tx.Writes, platform.Write{Key: headKey, Value: value})
	for _, record := range next.records {
		value, err := json.Marshal(record)
		if err != nil {
			return errors.Wrap(err, "encode the record of a change")
		}
		tx.Writes = append(tx.Writes, platform.Write{Key: versionKey(record.Version), Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	return m.Table.Commit(ctx, tx)
}

// completeBatch distributes a committed batch and then answers its changes.
func (m *Manager) completeBatch(next preparedBatch, batch []*request) {
	for i, r := range batch {
		m.recordAccepted(r, next.records[i].Version)
	}
	m.adopt(next.expanded, next.content, "a change committed by this entry host")
	m.broadcastCurrent()
	m.recordCompletedRollouts()
	for i, r := range batch {
		r.result <- result{accepted: Acceptance{Version: next.records[i].Version, Change: r.change.ID}}
	}
}

// recordAccepted records the event of a committed change. If this entry host received the
// change, it starts to measure the roll-out.
func (m *Manager) recordAccepted(r *request, v config.Version) {
	id := m.record(event.Event{
		Number: event.ConfigAccepted, Organisation: r.change.Organisation,
		Detail: fmt.Sprintf("version %d, change %s", v, r.change.ID),
	})
	if !r.forwarded {
		m.trackRollout(v, &trackedRollout{organisation: r.change.Organisation, receivedAt: r.receivedAt, cause: id})
	}
}
