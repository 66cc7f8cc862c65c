package runner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// longPollWait is how long the store may hold an answer back until something changes. A connection that
// fell silent is noticed that much later, so it is about the time in which a change must be in force.
const longPollWait = 1500 * time.Millisecond

// tableFollower follows a table: read takes in the whole table and returns its version, take takes in changes.
type tableFollower struct {
	table string
	wait  time.Duration
	// minInterval is the least time between two answers, so that changes come in groups.
	minInterval time.Duration
	// intervalFunc returns that time if it varies; nil means gather.
	intervalFunc func() time.Duration
	readAll      func(ctx context.Context) (uint64, error)
	apply        func(rows []platform.VersionedRow)
	// onAnswer is called after every answer with the version up to which the table is known, and with when the call for it was made;
	// nil means nobody cares.
	onAnswer func(version uint64, asked time.Time)
	// suspended tells that nobody needs the table now; nil means never.
	suspended func() bool
}

// firstPollWait is how long the first answer after a reading may be held back: what has changed while the rows were read is to be known soon.
const firstPollWait = 10 * time.Millisecond

// suspendedCheckInterval is the time between two looks whether an idle table is needed.
const suspendedCheckInterval = 200 * time.Millisecond

// followTable keeps up with a table until ctx ends.
func (m *Manager) followTable(ctx context.Context, f tableFollower) {
	var retry backoff
	version := uint64(0)
	known := false
	wait := f.wait
	for ctx.Err() == nil {
		if f.suspended != nil && f.suspended() {
			known = false
			if !sleep(ctx, suspendedCheckInterval) {
				return
			}
			continue
		}
		err := error(nil)
		asked := time.Now()
		if !known {
			version, err = f.readAll(ctx)
			known = err == nil
			wait = firstPollWait
		} else {
			var changes platform.Changes
			changes, err = m.Rows.AwaitChanges(ctx, f.table, version, wait)
			wait = f.wait
			if err == nil {
				f.apply(changes.Rows)
				version = max(version, changes.Version)
			}
		}
		switch {
		case isHistoryGone(err):
			known = false
		case err != nil:
			known = false // a feed that does not answer may be silent for long while the table can be read
			if !m.awaitRetry(ctx, &retry) {
				return
			}
			continue
		default:
			retry = backoff{}
			if f.onAnswer != nil {
				f.onAnswer(version, asked)
			}
		}
		if f.intervalFunc != nil {
			f.minInterval = f.intervalFunc()
		}
		if f.minInterval > 0 && !sleep(ctx, f.minInterval) {
			return
		}
	}
}

// followOperators keeps the catalogue and the waves up to date.
func (m *Manager) followOperators(ctx context.Context) {
	table := m.Operators.Table
	m.followTable(ctx, tableFollower{
		table: table, wait: longPollWait, apply: m.applyOperatorRows,
		readAll: func(ctx context.Context) (uint64, error) {
			rows, version, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: table, Purpose: "configuration"})
			if err == nil {
				m.applyOperatorRows(rows)
			}
			return version, err
		},
	})
}

func (m *Manager) applyOperatorRows(rows []platform.VersionedRow) {
	for _, row := range rows {
		catalogue, isCatalogue, err := m.Operators.DecodeCatalogue(row)
		if isCatalogue {
			m.adoptCatalogue(catalogue)
			continue
		}
		wave, isWave, waveErr := m.Operators.DecodeWave(row)
		if isWave {
			m.applyWave(wave)
			continue
		}
		if err != nil || waveErr != nil {
			m.record(event.Event{Number: event.CatalogueUnreadable, Detail: fmt.Sprint(row.Key, ": ", err, waveErr)})
		}
	}
}

// adoptCatalogue puts a configuration in force if it is newer than the one in force.
func (m *Manager) adoptCatalogue(c work.Catalogue) {
	m.mu.Lock()
	old := m.catalogue
	if c.Version <= old.Version {
		m.mu.Unlock()
		return
	}
	m.catalogue = c
	for _, q := range old.Queues() {
		if !slices.Contains(m.formerPools[q.Key()], q.Pool) {
			m.formerPools[q.Key()] = append(m.formerPools[q.Key()], q.Pool)
		}
	}
	m.mu.Unlock()
	m.record(event.Event{Number: event.CatalogueAdopted, Detail: fmt.Sprintf(
		"version %d after %d, %d queues, %d pools", c.Version, old.Version, len(c.Queues()), len(c.Pools))})
}

func (m *Manager) applyWave(w work.MaintenanceWave) {
	m.mu.Lock()
	_, known := m.waves[w.Name]
	m.waves[w.Name] = w
	m.mu.Unlock()
	if !known {
		m.record(event.Event{Number: event.WaveSeen, Detail: fmt.Sprintf(
			"wave %s: %d hosts within %s, %d at once", w.Name, len(w.Hosts), w.StartWithin, w.MaxConcurrent)})
	}
}

// poolNames returns the pools that a configuration names.
func (m *Manager) poolNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.catalogue.Pools))
}
