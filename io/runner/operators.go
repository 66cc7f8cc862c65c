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

// followWait is how long the store may hold an answer back until something changes. A connection that
// fell silent is noticed that much later, so it is about the time in which a change must be in force.
const followWait = 1500 * time.Millisecond

// follower follows a table: read takes in the whole table and returns its version, take takes in changes.
type follower struct {
	table string
	wait  time.Duration
	// gather is the least time between two answers, so that changes come in groups.
	gather time.Duration
	// pace returns that time if it varies; nil means gather.
	pace func() time.Duration
	read func(ctx context.Context) (uint64, error)
	take func(rows []platform.PartRow)
	// heard is called after every answer with the version up to which the table is known, and with when the call for it was made;
	// nil means nobody cares.
	heard func(version uint64, asked time.Time)
	// idle tells that nobody needs the table now; nil means never.
	idle func() bool
}

// firstWait is how long the first answer after a reading may be held back: what has changed while the rows were read is to be known soon.
const firstWait = 10 * time.Millisecond

// idleLook is the time between two looks whether an idle table is needed.
const idleLook = 200 * time.Millisecond

// follow keeps up with a table until ctx ends.
func (m *Manager) follow(ctx context.Context, f follower) {
	var retry backoff
	version := uint64(0)
	known := false
	wait := f.wait
	for ctx.Err() == nil {
		if f.idle != nil && f.idle() {
			known = false
			if !sleep(ctx, idleLook) {
				return
			}
			continue
		}
		err := error(nil)
		asked := time.Now()
		if !known {
			version, err = f.read(ctx)
			known = err == nil
			wait = firstWait
		} else {
			var changes platform.Changes
			changes, err = m.Rows.Follow(ctx, f.table, version, wait)
			wait = f.wait
			if err == nil {
				f.take(changes.Rows)
				version = max(version, changes.Version)
			}
		}
		switch {
		case historyGone(err):
			known = false
		case err != nil:
			known = false // a feed that does not answer may be silent for long while the table can be read
			if !m.pause(ctx, &retry) {
				return
			}
			continue
		default:
			retry = backoff{}
			if f.heard != nil {
				f.heard(version, asked)
			}
		}
		if f.pace != nil {
			f.gather = f.pace()
		}
		if f.gather > 0 && !sleep(ctx, f.gather) {
			return
		}
	}
}

// followOperators keeps the catalogue and the waves up to date.
func (m *Manager) followOperators(ctx context.Context) {
	table := m.Operators.Table
	m.follow(ctx, follower{
		table: table, wait: followWait, take: m.takeOperators,
		read: func(ctx context.Context) (uint64, error) {
			rows, version, err := m.Rows.ReadAll(ctx, platform.Range{Table: table, Purpose: "configuration"})
			if err == nil {
				m.takeOperators(rows)
			}
			return version, err
		},
	})
}

func (m *Manager) takeOperators(rows []platform.PartRow) {
	for _, row := range rows {
		catalogue, isCatalogue, err := m.Operators.DecodeCatalogue(row)
		if isCatalogue {
			m.adopt(catalogue)
			continue
		}
		wave, isWave, waveErr := m.Operators.DecodeWave(row)
		if isWave {
			m.seeWave(wave)
			continue
		}
		if err != nil || waveErr != nil {
			m.record(event.Event{Number: event.CatalogueUnreadable, Detail: fmt.Sprint(row.Key, ": ", err, waveErr)})
		}
	}
}

// adopt puts a configuration in force if it is newer than the one in force.
func (m *Manager) adopt(c work.Catalogue) {
	m.mu.Lock()
	old := m.catalogue
	if c.Version <= old.Version {
		m.mu.Unlock()
		return
	}
	m.catalogue = c
	for _, q := range old.Queues() {
		if !slices.Contains(m.former[q.Key()], q.Pool) {
			m.former[q.Key()] = append(m.former[q.Key()], q.Pool)
		}
	}
	m.mu.Unlock()
	m.record(event.Event{Number: event.CatalogueAdopted, Detail: fmt.Sprintf(
		"version %d after %d, %d queues, %d pools", c.Version, old.Version, len(c.Queues()), len(c.Pools))})
}

func (m *Manager) seeWave(w work.Wave) {
	m.mu.Lock()
	_, known := m.waves[w.Name]
	m.waves[w.Name] = w
	m.mu.Unlock()
	if !known {
		m.record(event.Event{Number: event.WaveSeen, Detail: fmt.Sprintf(
			"wave %s: %d hosts within %s, %d at once", w.Name, len(w.Hosts), w.Within, w.AtOnce)})
	}
}

// poolNames returns the pools that a configuration names.
func (m *Manager) poolNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.catalogue.Pools))
}
