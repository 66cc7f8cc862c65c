package runner

import (
	"fmt"
	"time"

	"siskincross/core/event"
)

// ConfigurationTiming bounds how long a process acts on a configuration that it can't confirm. Zero fields have defaults.
type ConfigurationTiming struct {
	// Apply is the time from the commit of a version within which every process must act on it.
	Apply time.Duration
	// Outage is what a process may take in addition while the store refuses its calls.
	Outage time.Duration
	// Visible is the time after which a process must not act on an older version than others have shown it.
	Visible time.Duration
}

// Defaults of ConfigurationTiming.
const (
	defaultApply   = 3 * time.Second
	defaultOutage  = 6 * time.Second
	defaultVisible = 250 * time.Millisecond
)

func (t ConfigurationTiming) withDefaults() ConfigurationTiming {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{{&t.Apply, defaultApply}, {&t.Outage, defaultOutage}, {&t.Visible, defaultVisible}} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
	return t
}

// configurationFreshness tells how current this process's configuration is. Manager.mu guards it.
type configurationFreshness struct {
	// confirmedAt is the time up to which the store's answers are known to contain every version.
	confirmedAt time.Time
	// newestSeen is the newest version that another entry host has shown, and newestSeenAt when it was first shown.
	newestSeen   uint64
	newestSeenAt time.Time
}

// confirmConfiguration records that the configuration is known as of a time.
func (m *Manager) confirmConfiguration(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.freshness.confirmedAt) {
		m.freshness.confirmedAt = at
	}
}

// noteVersion records a version that another entry host acts on.
func (m *Manager) noteVersion(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version > max(m.freshness.newestSeen, m.catalogue.Version) {
		m.freshness.newestSeen, m.freshness.newestSeenAt = version, time.Now()
	}
}

// configurationIsWithin reports whether no version can have been in force for longer than bound without being known here, and
// no other entry host has shown a newer one.
func (m *Manager) configurationIsWithin(bound time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.freshness
	overtaken := f.newestSeen > m.catalogue.Version && now.Sub(f.newestSeenAt) > m.Configuration.Visible
	return !overtaken && now.Sub(f.confirmedAt) <= bound
}

// configurationAge returns the time for which versions may have been in force that this process doesn't know, and false before
// the first answer.
func (m *Manager) configurationAge(now time.Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.freshness.confirmedAt), !m.freshness.confirmedAt.IsZero()
}

// MayRefuse reports whether the configuration is current enough to tell that a queue or a key doesn't exist. Without
// organisations it always is.
func (m *Manager) MayRefuse() bool {
	return !m.Catalogue().Organisations.RequiresKeys() || m.configurationIsWithin(m.Configuration.Apply, time.Now())
}

// mayAccept reports whether the configuration is current enough to accept a key that it contains. Without organisations it
// always is.
func (m *Manager) mayAccept() bool {
	return !m.Catalogue().Organisations.RequiresKeys() ||
		m.configurationIsWithin(m.Configuration.Apply+m.Configuration.Outage, time.Now())
}

// configurationReport publishes how current the configuration is. One goroutine uses it.
type configurationReport struct {
	manager *Manager
	// outdated is the state that was last recorded as an event.
	outdated bool
}

// update sets the metrics, and records an event if the configuration has become outdated or current. Without organisations it
// does nothing.
func (r *configurationReport) update(now time.Time) {
	m := r.manager
	catalogue := m.Catalogue()
	age, known := m.configurationAge(now)
	if !known || !catalogue.Organisations.RequiresKeys() {
		return
	}
	m.scope.Gauge("configuration_version").Update(float64(catalogue.Version))
	m.scope.Gauge("configuration_age_seconds").Update(age.Seconds())
	outdated := !m.configurationIsWithin(m.Configuration.Apply, now)
	if outdated == r.outdated {
		return
	}
	r.outdated = outdated
	e := event.Event{Number: event.ConfigurationCurrent, Detail: fmt.Sprintf("version %d", catalogue.Version)}
	if outdated {
		m.mu.Lock()
		newest := m.freshness.newestSeen
		m.mu.Unlock()
		e.Number = event.ConfigurationOutdated
		e.Detail = fmt.Sprintf("version %d, confirmed %s ago; other entry hosts have shown version %d", catalogue.Version, age.Round(time.Millisecond), newest)
	}
	m.record(e)
}
