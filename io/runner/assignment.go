package runner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"

	"golang.org/x/sync/errgroup"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// routeTable holds, in the empty partition, the assignment of each queue to a pool and, in the partition of a pool, the gates of
// the queues whose jobs the pool stores or has stored, both by queue.
const routeTable = "route"

// assignmentRow is the stored assignment of a queue.
type assignmentRow struct {
	// Version is the version of the configuration that assigned the queue to Pool. It never falls.
	Version uint64 `json:"version"`
	Pool    string `json:"pool"`
	// Pools holds all pools that may have stored jobs of the queue, among them Pool. A pool is added before its gate opens and
	// never removed.
	Pools []string `json:"pools"`
}

// gateRow decides whether a pool stores jobs of a queue: each transaction that stores some expects the version of an open gate.
// A queue has at most one open gate.
type gateRow struct {
	// Version is the version of the configuration that opened or closed the gate. It never falls.
	Version uint64 `json:"version"`
	Open    bool   `json:"open,omitempty"`
	// Former holds the other pools that may have stored jobs of the queue when the gate was opened. None of them stores any before
	// it has closed this gate.
	Former []string `json:"former,omitempty"`
}

// gate is an open gate of a queue as this process knows it.
type gate struct {
	platform.RowPrecondition
	// former holds the other pools that may have stored jobs of the queue. They store no more as long as this gate is open.
	former []string
}

// gateID identifies a gate.
type gateID struct{ queue, pool string }

// errOutdated is returned for a queue that a later configuration than the submission's has assigned to another pool.
type errOutdated struct {
	Queue string
	// Assignment is the stored assignment.
	Assignment assignmentRow
}

// Error implements error.
func (e errOutdated) Error() string {
	return "the queue " + e.Queue + " has moved to pool " + e.Assignment.Pool + " in a later configuration"
}

// routeKey returns the key of the row of a queue's assignment, for an empty pool, or of its gate.
func routeKey(queue, pool string) platform.RowKey {
	if len(queue) > maxIDBytes {
		sum := sha256.Sum256([]byte(queue))
		queue = hex.EncodeToString(sum[:])
	}
	return platform.RowKey{Table: routeTable, Partition: pool, Key: queue}
}

// openGate returns the open gate of a queue in the pool that serves it in this version of the configuration. It assigns the queue
// to the pool and opens the gate if necessary. It returns errOutdated if the queue has moved since, or the error of the store.
func (m *Manager) openGate(ctx context.Context, queue, pool string, version uint64) (gate, error) {
	m.mu.Lock()
	known, ok := m.gates[gateID{queue, pool}]
	m.mu.Unlock()
	if ok {
		return known, nil
	}
	key := routeKey(queue, pool)
	stored, row, err := m.readGate(ctx, key)
	if err != nil {
		return gate{}, err
	}
	if !stored.Open {
		if stored, row.Version, err = m.moveQueue(ctx, queue, pool, version); err != nil {
			return gate{}, err
		}
	}
	opened := gate{RowPrecondition: platform.RowPrecondition{RowKey: key, Version: row.Version}, former: stored.Former}
	m.mu.Lock()
	m.gates[gateID{queue, pool}] = opened
	m.mu.Unlock()
	return opened, nil
}

// moveQueue assigns a queue to a pool, closes the gates of the pools that had it and opens that of the pool. It returns the open
// gate and the version of its row.
func (m *Manager) moveQueue(ctx context.Context, queue, pool string, version uint64) (gateRow, uint64, error) {
	assignment, err := m.assignQueue(ctx, queue, pool, version)
	if err != nil {
		return gateRow{}, 0, err
	}
	version = max(version, assignment.Version)
	former := slices.DeleteFunc(slices.Clone(assignment.Pools), func(p string) bool { return p == pool })
	for _, other := range former {
		if _, _, err := m.setGate(ctx, routeKey(queue, other), gateRow{Version: version}); err != nil {
			return gateRow{}, 0, withAssignment(err, queue, assignment)
		}
	}
	opened, rowVersion, err := m.setGate(ctx, routeKey(queue, pool), gateRow{Version: version, Open: true, Former: former})
	return opened, rowVersion, withAssignment(err, queue, assignment)
}

// errGateTaken is returned for a gate that a later configuration has opened or closed.
var errGateTaken = errors.New("a later configuration has set the gate")

// withAssignment returns errOutdated for errGateTaken, and other errors as they are.
func withAssignment(err error, queue string, assignment assignmentRow) error {
	if errors.Is(err, errGateTaken) {
		return errOutdated{queue, assignment}
	}
	return err
}

// assignQueue assigns a queue to a pool, unless a later configuration has assigned it to another one.
func (m *Manager) assignQueue(ctx context.Context, queue, pool string, version uint64) (assignmentRow, error) {
	for {
		stored, row, err := m.readAssignment(ctx, queue, "route")
		switch {
		case err != nil:
			return stored, err
		case row.Version != 0 && stored.Pool == pool:
			return stored, nil
		case row.Version != 0 && version <= stored.Version:
			return stored, errOutdated{queue, stored}
		}
		next := assignmentRow{Version: version, Pool: pool, Pools: slices.Clone(stored.Pools)}
		if !slices.Contains(next.Pools, pool) {
			next.Pools = append(next.Pools, pool)
		}
		_, err = m.commitRoute(ctx, row, encodeRow(next))
		var conflict platform.ErrVersionMismatch
		switch {
		case err == nil:
			m.record(event.Event{Number: event.QueueAssigned, Pool: pool, Detail: "queue " + queue + ", before in pool " + stored.Pool})
			return next, nil
		case !errors.As(err, &conflict):
			return next, err
		}
	}
}

// readAssignment returns the stored assignment of a queue and its row, whose version is zero if there is none.
func (m *Manager) readAssignment(ctx context.Context, queue, purpose string) (assignmentRow, platform.VersionedRow, error) {
	var stored assignmentRow
	row, ok, err := m.Rows.ReadRow(ctx, routeKey(queue, ""), purpose)
	if err == nil && ok {
		err = decodeRow(row, &stored)
	}
	if !ok {
		row = platform.VersionedRow{RowKey: routeKey(queue, "")}
	}
	return stored, row, err
}

// readGate returns a stored gate and its row, whose version is zero if there is none.
func (m *Manager) readGate(ctx context.Context, key platform.RowKey) (gateRow, platform.VersionedRow, error) {
	var stored gateRow
	row, ok, err := m.Rows.ReadRow(ctx, key, "route")
	if err == nil && ok {
		err = decodeRow(row, &stored)
	}
	if !ok {
		row = platform.VersionedRow{RowKey: key}
	}
	return stored, row, err
}

// setGate opens or closes a gate and returns it with the version of its row. A gate that is open is not opened again. It returns
// errGateTaken if a later configuration has closed or opened the gate.
func (m *Manager) setGate(ctx context.Context, key platform.RowKey, to gateRow) (gateRow, uint64, error) {
	for {
		stored, row, err := m.readGate(ctx, key)
		switch {
		case err != nil:
			return stored, 0, err
		case row.Version == 0:
		case stored.Open && to.Open, !stored.Open && !to.Open && stored.Version >= to.Version:
			return stored, row.Version, nil
		case stored.Version >= to.Version:
			return stored, 0, errGateTaken
		}
		version, err := m.commitRoute(ctx, row, encodeRow(to))
		var conflict platform.ErrVersionMismatch
		if err == nil || !errors.As(err, &conflict) {
			return to, version, err
		}
	}
}

// commitRoute replaces a row of the route table.
func (m *Manager) commitRoute(ctx context.Context, row platform.VersionedRow, value []byte) (uint64, error) {
	return m.Rows.Commit(ctx, platform.RowTransaction{
		Preconditions: []platform.RowPrecondition{{RowKey: row.RowKey, Version: row.Version}},
		Writes:        []platform.RowWrite{{RowKey: row.RowKey, Value: value}},
		Purpose:       "route",
	})
}

// forgetChangedGates forgets the gates that a conflict shows to have changed. They are opened again before the next transaction.
func (m *Manager) forgetChangedGates(conflict platform.ErrVersionMismatch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, g := range m.gates {
		for _, row := range conflict.Rows {
			if row.RowKey == g.RowKey && row.Version != g.Version {
				delete(m.gates, id)
			}
		}
	}
}

// forgetGatesExcept forgets the gates of queues that a configuration doesn't have. The caller holds the lock.
func (m *Manager) forgetGatesExcept(queues []work.Queue) {
	kept := make(map[gateID]gate, len(m.gates))
	for _, q := range queues {
		id := gateID{q.Key(), q.Pool}
		if g, ok := m.gates[id]; ok {
			kept[id] = g
		}
	}
	m.gates = kept
}

// openGates opens the gates of the queues that the configuration assigns to the holder's pool, so that callers' jobs need not wait
// for it.
func (h *poolHolder) openGates(c work.Catalogue) {
	var retry backoff
	for _, q := range c.Queues() {
		if q.Pool != h.pool || c.Pools[q.Pool].Standby {
			continue
		}
		for {
			_, err := h.manager.openGate(h.ctx, q.Key(), q.Pool, c.Version)
			var outdated errOutdated
			if err == nil || errors.As(err, &outdated) {
				break
			}
			h.manager.record(event.Event{Number: event.QueueUnassigned, Pool: h.pool, Detail: "queue " + q.Key() + ": " + err.Error()})
			if !h.manager.awaitRetry(h.ctx, &retry) || h.manager.Catalogue().Version != c.Version {
				return
			}
		}
	}
}

// openNewGates starts openGates for a configuration that is new to the holder.
func (h *poolHolder) openNewGates() {
	c := h.manager.Catalogue()
	h.mu.Lock()
	known := h.gatesVersion == c.Version
	h.gatesVersion = c.Version
	h.mu.Unlock()
	if !known {
		h.group.Go(func() { h.openGates(c) })
	}
}

// storingPools returns the pools that may have stored jobs of a queue, that which serves it now first.
func (m *Manager) storingPools(ctx context.Context, q work.Queue, purpose string) ([]string, error) {
	pools := []string{q.Pool}
	if q.Key() == "" {
		return pools, nil // entry hosts of earlier versions forward requests without the queue
	}
	assignment, _, err := m.readAssignment(ctx, q.Key(), purpose)
	for _, pool := range assignment.Pools {
		if pool != q.Pool {
			pools = append(pools, pool)
		}
	}
	return pools, err
}

// admitGroup prepares a group of submissions for being stored in a pool: it opens the gates of their queues and looks for the jobs
// in the pools that may have stored them before. It answers those that are stored or can't be, and returns the others with their
// gates, or the error of the store.
func (m *Manager) admitGroup(pool string, group []*submission) ([]*submission, []gate, error) {
	var gates []gate
	answered := make([]bool, len(group))
	var reads errgroup.Group
	reads.SetLimit(maxConcurrentLookups)
	for i, s := range group {
		g, err := m.openGate(m.ctx, s.job.Queue, pool, s.configuration)
		var outdated errOutdated
		switch {
		case errors.As(err, &outdated):
			reads.Go(func() (err error) {
				answered[i], err = m.answerOutdated(s, outdated)
				return err
			})
			continue
		case err != nil:
			return unanswered(group, answered, errors.Join(reads.Wait(), err))
		case s.admittedBy != g.Version:
			reads.Go(func() (err error) {
				answered[i], err = m.answerIfStored(s, g)
				return err
			})
		}
		if !slices.ContainsFunc(gates, func(known gate) bool { return known.RowKey == g.RowKey }) {
			gates = append(gates, g)
		}
	}
	group, _, err := unanswered(group, answered, reads.Wait())
	return group, gates, err
}

// maxConcurrentLookups is the number of jobs of a group that are looked for in former pools at the same time.
const maxConcurrentLookups = 8

// unanswered returns the submissions of a group that have no answer yet, with the error.
func unanswered(group []*submission, answered []bool, err error) ([]*submission, []gate, error) {
	kept := make([]*submission, 0, len(group))
	for i, s := range group {
		if !answered[i] {
			kept = append(kept, s)
		}
	}
	return kept, nil, err
}

// answerIfStored answers a submission whose job is stored in a former pool of its queue, and reports whether it did. Another
// organisation's job of that ID doesn't count: it stays as it is beside the new one.
func (m *Manager) answerIfStored(s *submission, g gate) (bool, error) {
	stored, err := m.answerIfIn(s, g.former)
	if err == nil && !stored {
		s.admittedBy = g.Version
	}
	return stored, err
}

// answerIfIn answers a submission whose job is stored in one of the pools, and reports whether it did.
func (m *Manager) answerIfIn(s *submission, pools []string) (bool, error) {
	row, found, err := m.findRow(m.ctx, s.caller, pools, s.job.ID, "accept")
	if err == nil && found {
		s.finish(s.caller.checkStored(s.job.ID, row))
	}
	return found, err
}

// answerOutdated answers a submission whose queue has moved to another pool in a later configuration than its own, and reports
// whether it did.
func (m *Manager) answerOutdated(s *submission, outdated errOutdated) (bool, error) {
	stored, err := m.answerIfIn(s, outdated.Assignment.Pools)
	switch {
	case stored || err != nil:
		return stored, err
	case s.maybeStored:
		s.finish(ErrOutcomeUnknown{outdated.Error()})
	default:
		s.finish(ErrNotAccepted{Reason: outdated.Error(), RetryAfter: storeRetryAfter})
	}
	return true, nil
}

// findRow returns the row of a job of the caller's in the first of the pools that has one.
func (m *Manager) findRow(ctx context.Context, caller Caller, pools []string, id work.JobID, purpose string) (platform.VersionedRow, bool, error) {
	for _, pool := range pools {
		row, ok, err := m.Rows.ReadRow(ctx, jobKey(pool, id), purpose)
		if err != nil || (ok && caller.mayUse(ownerOf(row))) {
			return row, ok && err == nil, err
		}
	}
	return platform.VersionedRow{}, false, nil
}
