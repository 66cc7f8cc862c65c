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
	// firstRetry and lastRetry bound the pause between attempts to use the store.
	firstRetry = 20 * time.Millisecond
	lastRetry  = 2 * time.Second
)

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetry
	b.MaxInterval = lastRetry
	return b
}

// retry repeats an idempotent call until it succeeds or ctx ends.
func (m *Manager) retry(ctx context.Context, call func(ctx context.Context) error) error {
	pauses := newBackOff()
	for {
		bounded, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
		err := call(bounded)
		cancel()
		if err == nil || !pause(ctx, pauses.NextBackOff()) {
			return err
		}
	}
}

// commitAll commits the pending changes in batches, one batch at a time.
func (m *Manager) commitAll(ctx context.Context) error {
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

// commitBatch attempts the changes until each of them has its result. An
// attempt whose outcome is unknown is read back before the next one, and the
// next one has the head as it was read as its precondition: so a change is
// committed at most once, also when a lost commit takes effect late.
func (m *Manager) commitBatch(ctx context.Context, batch []*request) {
	pauses := newBackOff()
	for {
		batch = m.dropAbandoned(ctx, batch)
		if len(batch) == 0 {
			return
		}
		var err error
		batch, err = m.attempt(ctx, batch)
		if err != nil && len(batch) > 0 {
			pause(ctx, pauses.NextBackOff())
		}
	}
}

// dropAbandoned returns the changes whose callers still wait, or none when the
// manager ends: then the callers abandon their changes themselves.
func (m *Manager) dropAbandoned(ctx context.Context, batch []*request) []*request {
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

// attempt reads the head, answers what is settled by it and commits the rest.
// It returns the changes that have no result yet.
func (m *Manager) attempt(ctx context.Context, batch []*request) ([]*request, error) {
	h, rowVersion, err := m.readHead(ctx)
	if err != nil {
		return batch, err
	}
	if h.Version < m.Current().Version {
		return batch, errors.Newf("the head as read, version %d, is stale", h.Version)
	}
	batch, err = m.settle(ctx, h, batch)
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
	next, err := m.prepare(h, base, batch)
	if err == nil {
		err = m.putExpanded(ctx, next)
	}
	if err != nil {
		m.release(batch, false)
		return batch, err
	}
	if err := m.commit(ctx, next, rowVersion); err != nil {
		m.release(batch, !isDefinite(err))
		return batch, err
	}
	m.accept(next, batch)
	return nil, nil
}

// isDefinite reports whether a failed commit is known to have had no effect.
func isDefinite(err error) bool {
	var conflict platform.ErrConflict
	var unavailable platform.ErrUnavailable
	return errors.As(err, &conflict) || errors.As(err, &unavailable)
}

// prepared is a batch made ready to commit.
type prepared struct {
	head     head
	records  []Record
	expanded config.Expanded
	content  []byte
}

// prepare gives each change a version of its own. Only the last version of a
// batch ever becomes the head, so only it is stored expanded.
func (m *Manager) prepare(h head, base config.Expanded, batch []*request) (prepared, error) {
	next := prepared{head: h, expanded: base}
	version := h.Version + config.Version(len(batch))
	object := fmt.Sprintf("%s%020d-%s", expandPrefix, version, ulid.Make())
	for i, r := range batch {
		v := h.Version + config.Version(i+1)
		next.head = next.head.with(r.change, v, object)
		next.expanded = next.expanded.WithOrganisation(r.change.Organisation, r.part).WithVersion(v)
		next.records = append(next.records, Record{
			Version: v, Organisation: r.change.Organisation, From: r.change.From, Change: r.change.ID,
			Restores: r.change.Restores, Member: m.Member, Time: time.Now().UTC(),
		})
	}
	next.records[len(batch)-1].Object = object
	var err error
	next.content, err = pack(next.expanded)
	return next, err
}

// putExpanded stores the expanded configuration before the head refers to it.
func (m *Manager) putExpanded(ctx context.Context, next prepared) error {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	return errors.Wrap(m.Objects.Put(ctx, next.head.Object, next.content), "store the configuration")
}

// commit writes the head and the records if the head's row is as it was read.
func (m *Manager) commit(ctx context.Context, next prepared, rowVersion uint64) error {
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
			return errors.Wrap(err, "encode a record")
		}
		tx.Writes = append(tx.Writes, platform.Write{Key: versionKey(record.Version), Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	return m.Table.Commit(ctx, tx)
}

// accept spreads a committed batch and then answers its changes.
func (m *Manager) accept(next prepared, batch []*request) {
	for i, r := range batch {
		m.noteAccepted(r, next.records[i].Version)
	}
	m.adopt(next.expanded, next.content, "a change accepted here")
	m.push()
	m.checkRollouts()
	for i, r := range batch {
		r.result <- result{accepted: Acceptance{Version: next.records[i].Version, Change: r.change.ID}}
	}
}

// noteAccepted records a change whose commit is known and begins to time the
// roll-out of one that was received here.
func (m *Manager) noteAccepted(r *request, v config.Version) {
	id := m.record(event.Event{
		Number: event.ConfigAccepted, Organisation: r.change.Organisation,
		Detail: fmt.Sprintf("version %d, change %s", v, r.change.ID),
	})
	if !r.forwarded {
		m.track(v, &tracked{organisation: r.change.Organisation, received: r.received, cause: id})
	}
}
