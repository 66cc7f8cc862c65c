package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/uber-go/tally/v4"

	"siskincross/core/host"
	"siskincross/core/pool"
	"siskincross/io/platform"
)

const (
	poolPrefix = "pool/"
	hostPrefix = "host/"
)

// errReadBackFailed is returned when the rows of a commit could not be read back. No
// decision may depend on them.
var errReadBackFailed = errors.New("the rows of a commit could not be read back")

// errConcurrentWrite is returned when another writer changed a row first.
var errConcurrentWrite = errors.New("a row was changed by another writer first")

// commit sends one transaction, bounded by CallTimeout.
func (m *Manager) commit(ctx context.Context, tx platform.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	tx.ID = ulid.Make().String()
	m.scope().Tagged(map[string]string{"purpose": tx.Purpose}).Counter("fleet-writes").Inc(int64(len(tx.Writes)))
	return m.Platform.Table.Commit(ctx, tx)
}

// read reads rows, bounded by CallTimeout.
func (m *Manager) read(ctx context.Context, keys []string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	m.scope().Counter("fleet-reads").Inc(int64(len(keys)))
	return m.Platform.Table.Read(ctx, keys)
}

func (m *Manager) scope() tally.Scope {
	if m.Scope == nil {
		return tally.NoopScope
	}
	return m.Scope
}

// change replaces one pool row.
type change struct {
	before poolRow
	after  pool.Pool
}

// ownershipWrite writes or deletes the ownership row of a host. A write is conditional on
// the row's version.
type ownershipWrite struct {
	id      host.ID
	version uint64
	value   pool.Ownership
	delete  bool
}

// decision is a transaction over pool rows and ownership rows.
type decision struct {
	purpose string
	changes []change
	owners  []ownershipWrite
}

// commitAndReadBack commits a decision and reads the pool rows back regardless of the
// result of the commit, because a response may have been lost. It returns nil only if the
// rows match the decision.
func (m *Manager) commitAndReadBack(ctx context.Context, d decision) error {
	tx, err := d.transaction()
	if err != nil {
		return err
	}
	names := make([]string, 0, len(d.changes))
	for _, c := range d.changes {
		names = append(names, c.after.Name)
	}
	m.markStale(names)
	commitErr := m.commit(ctx, tx)
	if err := m.refresh(ctx, names); err != nil {
		return errors.Wrap(errReadBackFailed, err.Error())
	}
	m.recordWrites(names)
	m.broadcastRoutes(names)
	m.requestHeartbeat()
	if m.matchesReadBack(d) {
		return nil
	}
	if commitErr != nil && !errors.As(commitErr, &platform.ErrConflict{}) {
		return commitErr
	}
	return errConcurrentWrite
}

func (d decision) transaction() (platform.Transaction, error) {
	tx := platform.Transaction{Purpose: d.purpose}
	for _, c := range d.changes {
		value, err := json.Marshal(c.after)
		if err != nil {
			return tx, errors.Wrapf(err, "encode the row of pool %s", c.after.Name)
		}
		key := poolPrefix + c.after.Name
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: key, Version: c.before.version})
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
	}
	for _, o := range d.owners {
		value, err := json.Marshal(o.value)
		if err != nil {
			return tx, errors.Wrapf(err, "encode the ownership row of host %s", o.id)
		}
		key := hostPrefix + string(o.id)
		if o.delete {
			tx.Writes = append(tx.Writes, platform.Write{Key: key, Delete: true})
			continue
		}
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: key, Version: o.version})
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
	}
	return tx, nil
}

// matchesReadBack reports whether the rows read back are those of the decision.
func (m *Manager) matchesReadBack(d decision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range d.changes {
		want, err := json.Marshal(c.after)
		if err != nil {
			return false
		}
		got, err := json.Marshal(m.rows[c.after.Name].pool)
		if err != nil || string(got) != string(want) {
			return false
		}
	}
	return true
}

func (m *Manager) markStale(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		r := m.rows[name]
		r.current = false
		m.rows[name] = r
	}
}

// recordWrites records the versions of the rows that were just written, so that the member
// row advertises them.
func (m *Manager) recordWrites(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		m.recentWrites[name] = recentWrite{version: m.rows[name].version, writtenAt: time.Now()}
	}
}

// refresh reads pool rows and installs them.
func (m *Manager) refresh(ctx context.Context, names []string) error {
	if len(names) == 0 {
		return nil
	}
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = poolPrefix + name
	}
	found, err := m.read(ctx, keys)
	if err != nil {
		return errors.Wrap(err, "read pool rows")
	}
	rows := make(map[string]poolRow, len(names))
	for _, f := range found {
		r, err := m.decode(f)
		if err != nil {
			return errors.Wrapf(err, "decode row %s", f.Key)
		}
		rows[r.pool.Name] = r
	}
	for _, name := range names {
		if _, ok := rows[name]; !ok {
			rows[name] = poolRow{pool: pool.Pool{Name: name}, current: true}
		}
		m.installRow(rows[name])
	}
	return nil
}

// decode decodes a pool row, unless its version is already known.
func (m *Manager) decode(f platform.Row) (poolRow, error) {
	m.mu.Lock()
	known := m.rows[strings.TrimPrefix(f.Key, poolPrefix)]
	m.mu.Unlock()
	r := poolRow{pool: known.pool, version: f.Version, exists: true, current: true}
	if known.exists && known.version == f.Version {
		return r, nil
	}
	r.pool = pool.Pool{}
	return r, json.Unmarshal(f.Value, &r.pool)
}

// installRow replaces the known row by one that was read, unless the known one is newer.
func (m *Manager) installRow(r poolRow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.rows[r.pool.Name]
	if r.exists && known.version > r.version {
		return
	}
	m.rows[r.pool.Name] = r
	m.trackOutOfService(known.pool, r)
	if r.exists {
		m.adoptSnapshot(r.pool.Snapshot(r.version), time.Now())
	}
}

// trackOutOfService records the version that first showed each host out of service. A drain
// waits until all members have acknowledged that version. The caller holds mu.
func (m *Manager) trackOutOfService(before pool.Pool, r poolRow) {
	for _, h := range before.Hosts {
		if _, ok := r.pool.Host(h.ID); !ok {
			delete(m.outOfServiceSince, h.ID)
		}
	}
	for _, h := range r.pool.Hosts {
		_, out := m.outOfServiceSince[h.ID]
		switch {
		case h.State == host.Serving:
			delete(m.outOfServiceSince, h.ID)
		case !out:
			m.outOfServiceSince[h.ID] = r.version
		}
	}
}
