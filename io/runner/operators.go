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

// longPollWait is how long the store may hold back its answer until something changes. It is also the time until a
// dead connection is detected, so it is about the time in which a change must take effect.
const longPollWait = 1500 * time.Millisecond

// tableFollower describes how a table is followed: readAll reads and applies the whole table and returns its version,
// and apply applies changes.
type tableFollower struct {
	table string
	// maxPollWait bounds each long poll.
	maxPollWait time.Duration
	// minInterval is the minimum time between two answers, so that changes arrive in batches.
	minInterval time.Duration
	// intervalFunc returns the new minInterval after each answer, for an interval that varies. It may be nil.
	intervalFunc func() time.Duration
	readAll      func(ctx context.Context) (uint64, error)
	apply        func(rows []platform.VersionedRow)
	// onAnswer is called after every answer with the version up to which the table is known and with the time of the
	// request. It may be nil.
	onAnswer func(version uint64, sentAt time.Time)
	// onConfirmed is called after every answer with the latest time as of which the table is known. It may be nil.
	onConfirmed func(at time.Time)
	// suspended reports whether the table is not needed at the moment. It may be nil.
	suspended func() bool
}

// firstPollWait bounds the first long poll after a full read, so that changes made during the read are delivered
// soon.
const firstPollWait = 10 * time.Millisecond

// suspendedCheckInterval is the time between two checks whether a suspended table is needed again.
const suspendedCheckInterval = 200 * time.Millisecond

// followTable reads a table and applies its changes until ctx ends.
func (m *Manager) followTable(ctx context.Context, f tableFollower) {
	var retry backoff
	version := uint64(0)
	synced := false
	wait := f.maxPollWait
	for ctx.Err() == nil {
		if f.suspended != nil && f.suspended() {
			synced = false
			if !sleep(ctx, suspendedCheckInterval) {
				return
			}
			continue
		}
		err := error(nil)
		sentAt := time.Now()
		confirmedAt := sentAt
		if !synced {
			version, err = f.readAll(ctx)
			synced = err == nil
			wait = firstPollWait
		} else {
			var changes platform.Changes
			changes, err = m.Rows.AwaitChanges(ctx, f.table, version, wait)
			confirmedAt = m.pollConfirmedAt(sentAt, wait, len(changes.Rows) == 0)
			wait = f.maxPollWait
			if err == nil {
				f.apply(changes.Rows)
				version = max(version, changes.Version)
			}
		}
		switch {
		case isHistoryGone(err):
			synced = false
		case err != nil:
			synced = false // The feed may stay unanswered for long while the table can be read.
			if !m.awaitRetry(ctx, &retry) {
				return
			}
			continue
		default:
			retry = backoff{}
			if f.onAnswer != nil {
				f.onAnswer(version, sentAt)
			}
			if f.onConfirmed != nil {
				f.onConfirmed(confirmedAt)
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

// pollConfirmedAt returns the time as of which the answer of a long poll that has just arrived tells all changes. The store
// answers without changes only at the end of the wait, so such an answer is no older than that, however late it is read. The wait may
// have ended long ago if this machine was suspended meanwhile.
func (m *Manager) pollConfirmedAt(sentAt time.Time, wait time.Duration, empty bool) time.Time {
	m.noticeSuspension()
	m.mu.Lock()
	defer m.mu.Unlock()
	if end := sentAt.Add(wait); empty && !end.After(time.Now()) && !m.suspension.forget(sentAt).IsZero() {
		return end
	}
	return sentAt
}

// followOperators keeps the configuration and the maintenance waves up to date.
func (m *Manager) followOperators(ctx context.Context) {
	table := m.Operators.Table
	m.followTable(ctx, tableFollower{
		table: table, maxPollWait: longPollWait, apply: m.applyOperatorRows, onConfirmed: m.confirmConfiguration,
		readAll: func(ctx context.Context) (uint64, error) {
			rows, version, err := m.Rows.ReadAll(ctx, platform.RangeQuery{Table: table, Purpose: "configuration"})
			if err == nil {
				m.applyOperatorRows(rows)
			}
			return version, err
		},
	})
}

// applyOperatorRows applies changed rows of the operators' table.
func (m *Manager) applyOperatorRows(rows []platform.VersionedRow) {
	for _, row := range rows {
		catalogue, isCatalogue, err := m.Operators.DecodeCatalogue(row)
		if isCatalogue {
			if m.adoptCatalogue(catalogue) {
				m.recordFindings(row, catalogue.Version)
			}
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

// adoptCatalogue puts a configuration into force if it is newer than the current one, and reports whether it is.
func (m *Manager) adoptCatalogue(c work.Catalogue) bool {
	m.mu.Lock()
	previous := m.catalogue
	if c.Version <= previous.Version {
		m.mu.Unlock()
		return false
	}
	m.catalogue = c
	difference := previous.Organisations.Difference(c.Organisations)
	m.recordWithdrawnKeys(difference.WithdrawnKeys, c)
	m.forgetGatesExcept(c.Queues())
	m.mu.Unlock()
	detail := fmt.Sprintf("version %d replaces %d, %d queues, %d pools", c.Version, previous.Version, len(c.Queues()), len(c.Pools))
	if c.Organisations.RequiresKeys() || previous.Organisations.RequiresKeys() {
		detail += fmt.Sprintf(", %d organisations (%s)", len(c.Organisations.Names()), difference)
	}
	m.record(event.Event{Number: event.CatalogueAdopted, Detail: detail})
	for _, p := range c.Organisations.Problems() {
		m.record(event.Event{Number: event.OrganisationFaulty, Organisation: p.Organisation, Detail: fmt.Sprintf("version %d: %s", c.Version, p.Reason)})
	}
	return true
}

// applyWave stores a maintenance wave and records it if it is new.
func (m *Manager) applyWave(w work.MaintenanceWave) {
	m.mu.Lock()
	_, synced := m.waves[w.Name]
	m.waves[w.Name] = w
	m.mu.Unlock()
	if !synced {
		m.record(event.Event{Number: event.WaveSeen, Detail: fmt.Sprintf(
			"wave %s: %d hosts, to be started within %s, at most %d at the same time", w.Name, len(w.Hosts), w.StartWithin, w.MaxConcurrent)})
	}
}

// poolNames returns the sorted names of the pools in the configuration.
func (m *Manager) poolNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.catalogue.Pools))
}
