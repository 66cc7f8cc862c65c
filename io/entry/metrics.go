package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskincross/core/route"
)

// metrics holds the metrics of the request path, so that requests don't look them up by name.
type metrics struct {
	outcomes  map[route.Outcome]tally.Counter
	durations map[route.Outcome]tally.Timer
	attempts  tally.Counter
	faults    map[route.Fault]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scopeOrNoop(scope)
	m := metrics{
		outcomes:  make(map[route.Outcome]tally.Counter),
		durations: make(map[route.Outcome]tally.Timer),
		attempts:  scope.Counter("request-attempts"),
		faults:    make(map[route.Fault]tally.Counter),
	}
	for _, o := range route.OutcomeValues() {
		tagged := scope.Tagged(map[string]string{"outcome": o.String()})
		m.outcomes[o] = tagged.Counter("requests")
		m.durations[o] = tagged.Timer("request-duration")
	}
	for _, f := range route.FaultValues() {
		m.faults[f] = scope.Tagged(map[string]string{"fault": f.String()}).Counter("request-faults")
	}
	return m
}

// countOutcome counts a request by its outcome and records its duration.
func (m metrics) countOutcome(o route.Outcome, took time.Duration) {
	m.outcomes[o].Inc(1)
	m.durations[o].Record(took)
}

// countAttempt counts an attempt, and its fault if it has one.
func (m metrics) countAttempt(a route.Attempt) {
	m.attempts.Inc(1)
	if a.Fault != route.FaultNone {
		m.faults[a.Fault].Inc(1)
	}
}

// poolMetrics holds the gauges of one pool.
type poolMetrics struct {
	inProgress, waiting, ejected tally.Gauge
}

func newPoolMetrics(scope tally.Scope, pool string) poolMetrics {
	tagged := scopeOrNoop(scope).Tagged(map[string]string{"pool": pool})
	return poolMetrics{
		inProgress: tagged.Gauge("requests-in-progress"),
		waiting:    tagged.Gauge("requests-waiting"),
		ejected:    tagged.Gauge("targets-ejected"),
	}
}

func (m poolMetrics) update(inProgress, waiting, ejected int) {
	m.inProgress.Update(float64(inProgress))
	m.waiting.Update(float64(waiting))
	m.ejected.Update(float64(ejected))
}

func scopeOrNoop(scope tally.Scope) tally.Scope {
	if scope == nil {
		return tally.NoopScope
	}
	return scope
}
