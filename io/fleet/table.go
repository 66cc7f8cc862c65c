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

// errUnsettled is returned when a commit's rows could not be read back. Nothing may depend on them.
var errUnsettled = errors.New("the rows of a commit could not be read back")

// errOvertaken is returned when another writer changed a row first.
var errOvertaken = errors.New("another writer changed a row first")

// commit sends one transaction under the bound on calls.
func (m *Manager) commit(ctx context.Context, tx platform.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	tx.ID = ulid.Make().String()
	m.scope().Tagged(map[string]string{"purpose": tx.Purpose}).Counter("fleet-writes").Inc(int64(len(tx.Writes)))
	return m.Platform.Table.Commit(ctx, tx)
}

// read reads rows under the bound on calls.
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

// change replaces one pool's row.
type change struct {
	before row
	after  pool.Pool
}

// ownershipWrite writes or deletes a host's own row under its version.
type ownershipWrite struct {
	id      host.ID
	version uint64
	value   pool.Ownership
	remove  bool
}

// decision is a transaction over pools' rows and hosts' own rows.
type decision struct {
	purpose string
	changes []change
	owners  []ownershipWrite
}

// carryOut commits a decision and reads the pools' rows back, whatever the
// commit answered: an answer may have been lost. It returns nil only if the
// rows show the decision.
func (m *Manager) carryOut(ctx context.Context, d decision) error {
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
		return errors.Wrap(errUnsettled, err.Error())
	}
	m.touch(names)
	m.publish(names)
	m.beatSoon()
	if m.shows(d) {
		return nil
	}
	if commitErr != nil && !errors.As(commitErr, &platform.ErrConflict{}) {
		return commitErr
	}
	return errOvertaken
}

func (d decision) transaction() (platform.Transaction, error) {
	tx := platform.Transaction{Purpose: d.purpose}
	for _, c := range d.changes {
		value, err := json.Marshal(c.after)
		if err != nil {
			return tx, errors.Wrapf(err, "encode pool %s", c.after.Name)
		}
		key := poolPrefix + c.after.Name
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: key, Version: c.before.version})
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
	}
	for _, o := range d.owners {
		value, err := json.Marshal(o.value)
		if err != nil {
			return tx, errors.Wrapf(err, "encode host %s", o.id)
		}
		key := hostPrefix + string(o.id)
		if o.remove {
			tx.Writes = append(tx.Writes, platform.Write{Key: key, Delete: true})
			continue
		}
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: key, Version: o.version})
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
	}
	return tx, nil
}

// shows reports whether the rows read back are those of the decision.
func (m *Manager) shows(d decision) bool {
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
		r.fresh = false
		m.rows[name] = r
	}
}

// touch notes the rows that were just written, so that the member row advertises them.
func (m *Manager) touch(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		m.touched[name] = touch{version: m.rows[name].version, at: time.Now()}
	}
}

// refresh reads pools' rows and puts them in force.
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
		return errors.Wrap(err, "read pools' rows")
	}
	rows := make(map[string]row, len(names))
	for _, f := range found {
		r, err := m.decode(f)
		if err != nil {
			return errors.Wrapf(err, "decode %s", f.Key)
		}
		rows[r.pool.Name] = r
	}
	for _, name := range names {
		if _, ok := rows[name]; !ok {
			rows[name] = row{pool: pool.Pool{Name: name}, fresh: true}
		}
		m.install(rows[name])
	}
	return nil
}

// decode decodes a pool's row, unless it is the version that is known already.
func (m *Manager) decode(f platform.Row) (row, error) {
	m.mu.Lock()
	known := m.rows[strings.TrimPrefix(f.Key, poolPrefix)]
	m.mu.Unlock()
	r := row{pool: known.pool, version: f.Version, exists: true, fresh: true}
	if known.exists && known.version == f.Version {
		return r, nil
	}
	r.pool = pool.Pool{}
	return r, json.Unmarshal(f.Value, &r.pool)
}

// install puts a row that was read in force unless a newer one is.
func (m *Manager) install(r row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.rows[r.pool.Name]
	if r.exists && known.version > r.version {
		return
	}
	m.rows[r.pool.Name] = r
	m.noteOutOfService(known.pool, r)
	if r.exists {
		m.adopt(r.pool.Snapshot(r.version), time.Now())
	}
}

// noteOutOfService keeps the version that first showed each host out of
// service, which drains wait to be acknowledged. The caller holds the lock.
func (m *Manager) noteOutOfService(before pool.Pool, r row) {
	for _, h := range before.Hosts {
		if _, ok := r.pool.Host(h.ID); !ok {
			delete(m.outSince, h.ID)
		}
	}
	for _, h := range r.pool.Hosts {
		_, out := m.outSince[h.ID]
		switch {
		case h.State == host.Serving:
			delete(m.outSince, h.ID)
		case !out:
			m.outSince[h.ID] = r.version
		}
	}
}
