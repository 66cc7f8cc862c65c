package route

import (
	_ "embed" // the state chart
	"fmt"
	"sort"
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

//go:embed target.toml
var targetChartText string

var targetChart = chart.MustParse(targetChartText)

// States of a target's health.
const (
	TargetHealthy chart.State = "healthy"
	TargetEjected chart.State = "ejected"
	TargetProbed  chart.State = "probed"
)

// Events of a target's health.
const (
	targetEject   chart.Event = "eject"
	targetProbe   chart.Event = "probe"
	targetRestore chart.Event = "restore"
)

const (
	// firstServerError is the lowest HTTP status that counts as a failure of the target.
	firstServerError = 500
	// outlierFailureStreak is the number of consecutive failures after which a target is a suspect at once.
	outlierFailureStreak = 5
	// minOutlierSamples is the number of attempts before a target is compared with the others.
	minOutlierSamples = 10
	// outlierFailureRate is the failure rate above which a target is a suspect, if the median rate is below half of it.
	outlierFailureRate = 0.5
	// outlierDurationFactor is the multiple of the median duration above which a target is a suspect, minOutlierDelay the minimum
	// difference.
	outlierDurationFactor = 4
	minOutlierDelay       = 50 * time.Millisecond
	// healthSmoothing is the weight of a new observation in the failure rates.
	healthSmoothing = 1.0 / 8
	// minEjection and maxEjection bound how long a target gets no requests before it is probed.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// probeSuccesses is the number of consecutive successes that restores a probed target.
	probeSuccesses = 3
	// resetSuccesses is the number of consecutive successes after which earlier ejections no longer count.
	resetSuccesses = 100
	// panicThreshold is the share of suspected and ejected targets above which none is ejected, because the fault is
	// probably not theirs.
	panicThreshold = 0.5
	// probeOverdueFactor is the multiple of minEjection, after the end of an ejection, from which on a request that may not be repeated
	// serves as a probe too.
	probeOverdueFactor = 10
)

// health holds what one entry host has observed of a target's failures and durations.
type health struct {
	state chart.State
	// suspect is set for an outlier, also if the budget does not allow its ejection.
	suspect bool
	// reason is why the target is a suspect.
	reason string
	// failureStreak and successes count consecutive failures and consecutive successes.
	failureStreak, successes int
	samples                  int
	// failureRate and meanDuration are exponential moving averages over the attempts.
	failureRate  float64
	meanDuration time.Duration
	// ejectedUntil is the end of the ejection. ejections counts the ejections since the last resetSuccesses consecutive successes.
	ejectedUntil time.Time
	ejections    int
}

// outlierDetector holds the state of the ejection of targets that fail more often or are slower than the others.
type outlierDetector struct {
	// allowance is the number of targets that may be ejected at the same time.
	allowance int
	// medianFailureRate and medianDuration are the medians over the targets at their last comparison.
	medianFailureRate float64
	medianDuration    time.Duration
	// ejected holds the targets that are ejected or probed.
	ejected []*targetState
	changes []HealthChange
}

// HealthChange is an ejection or a restoration of a target, for the timeline.
type HealthChange struct {
	Host   host.ID
	State  chart.State
	Reason string
}

// EjectedCount returns the number of targets that are ejected or probed.
func (b *TargetSelector) EjectedCount() int {
	return len(b.ejected)
}

// TakeHealthChanges returns the changes since the last call, and forgets them.
func (b *TargetSelector) TakeHealthChanges() []HealthChange {
	changes := b.changes
	b.changes = nil
	return changes
}

// recordHealth records how an attempt ended. Refusals and faults of the caller do not count.
func (b *TargetSelector) recordHealth(now time.Time, st *targetState, a Attempt, duration time.Duration) {
	if a.Fault == FaultRefused || a.Fault == FaultCaller {
		return
	}
	failed := a.Fault != FaultNone || a.Status >= firstServerError
	st.health.record(failed, duration)
	switch {
	case st.health.state == TargetProbed && failed:
		b.changeHealth(now, st, targetEject)
	case st.health.state == TargetProbed && st.health.successes >= probeSuccesses:
		b.changeHealth(now, st, targetRestore)
	case st.health.state == TargetHealthy && st.health.failureStreak == outlierFailureStreak:
		st.health.detectOutlier(b.medianFailureRate, b.medianDuration)
		b.ejectSuspects(now)
	}
}

// record adds the result of an attempt.
func (h *health) record(failed bool, duration time.Duration) {
	h.samples++
	h.meanDuration = movingAverage(h.meanDuration, duration)
	if failed {
		h.failureRate += (1 - h.failureRate) * healthSmoothing
		h.failureStreak++
		h.successes = 0
		return
	}
	h.failureRate -= h.failureRate * healthSmoothing
	h.failureStreak = 0
	h.successes++
	if h.successes >= resetSuccesses {
		h.ejections = 0
	}
}

// DetectOutliers compares the targets with each other and ejects the outliers, at most allowance
// targets at a time and none above the panic threshold. It is called every few tens of
// milliseconds.
func (b *TargetSelector) DetectOutliers(now time.Time, allowance int) {
	b.allowance = allowance
	b.medianFailureRate, b.medianDuration = b.medians()
	for _, st := range b.all {
		if st.health.state == TargetHealthy {
			st.health.detectOutlier(b.medianFailureRate, b.medianDuration)
		}
	}
	b.ejectSuspects(now)
}

// detectOutlier sets suspect if the target is an outlier among targets with these medians.
func (h *health) detectOutlier(medianFailureRate float64, medianDuration time.Duration) {
	compared := h.samples >= minOutlierSamples
	switch {
	case h.failureStreak >= outlierFailureStreak && medianFailureRate < outlierFailureRate/2:
		h.suspect, h.reason = true, fmt.Sprintf("%d failures in a row", h.failureStreak)
	case compared && h.failureRate > outlierFailureRate && medianFailureRate < outlierFailureRate/2:
		h.suspect, h.reason = true, fmt.Sprintf("%.0f%% failures", h.failureRate*100)
	case compared && h.meanDuration > outlierDurationFactor*medianDuration && h.meanDuration > medianDuration+minOutlierDelay:
		h.suspect, h.reason = true, fmt.Sprintf("%s a request, the median is %s", h.meanDuration.Round(time.Millisecond), medianDuration.Round(time.Millisecond))
	default:
		h.suspect = false
	}
}

// medians returns the medians of the failure rate and of the mean medianDuration over the listed targets with enough samples.
func (b *TargetSelector) medians() (medianFailureRate float64, medianDuration time.Duration) {
	var failureRates []float64
	var durations []time.Duration
	for _, st := range b.all {
		if st.listed && st.health.samples >= minOutlierSamples {
			failureRates = append(failureRates, st.health.failureRate)
			durations = append(durations, st.health.meanDuration)
		}
	}
	if len(durations) == 0 {
		return 0, 0
	}
	sort.Float64s(failureRates)
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return failureRates[(len(failureRates)-1)/2], durations[(len(durations)-1)/2]
}

// ejectSuspects ejects suspects as far as the allowance permits. Above the panic threshold it restores all targets.
func (b *TargetSelector) ejectSuspects(now time.Time) {
	var suspects []*targetState
	for _, st := range b.all {
		if st.listed && st.health.suspect && st.health.state == TargetHealthy {
			suspects = append(suspects, st)
		}
	}
	if b.medianFailureRate >= outlierFailureRate/2 || float64(len(suspects)+len(b.ejected)) > panicThreshold*float64(b.targetCount) {
		b.restoreAll(now, suspects)
		return
	}
	for _, st := range suspects {
		if len(b.ejected) >= b.allowance {
			return
		}
		b.changeHealth(now, st, targetEject)
	}
}

// restoreAll restores all targets: if most of them look faulty, the fault is probably elsewhere.
func (b *TargetSelector) restoreAll(now time.Time, suspects []*targetState) {
	for _, st := range suspects {
		st.health.suspect = false
	}
	for _, st := range append([]*targetState(nil), b.ejected...) {
		b.changeHealth(now, st, targetRestore)
	}
}

// changeHealth applies an event of the health chart to a target. An event that its state does not allow is ignored.
func (b *TargetSelector) changeHealth(now time.Time, st *targetState, e chart.Event) {
	next, err := targetChart.Next(st.health.state, e)
	if err != nil {
		return
	}
	h := &st.health
	switch {
	case next == TargetHealthy:
		h.reset()
		b.ejected = removeState(b.ejected, st)
	case h.state == TargetHealthy:
		b.ejected = append(b.ejected, st)
	}
	h.state = next
	if next == TargetEjected {
		h.ejectedUntil = now.Add(min(minEjection<<min(h.ejections, 10), maxEjection))
		h.ejections++
		h.successes = 0
	}
	if next != TargetProbed {
		b.changes = append(b.changes, HealthChange{st.target.Host, next, h.reason})
	}
	b.updateRoom(st)
}

// reset clears the suspicion. The averages are kept unless the target was restored by successful probes.
func (h *health) reset() {
	if h.successes >= probeSuccesses {
		*h = health{ejections: h.ejections, successes: h.successes}
	}
	h.suspect, h.failureStreak = false, 0
}

// startProbe returns a target that is due for a probe by w and marks it as probed. It returns nil if there is none.
func (b *TargetSelector) startProbe(now time.Time, w *Waiter) *targetState {
	for _, st := range b.ejected {
		if !st.listed || st.ownRequests > 0 || now.Before(st.health.ejectedUntil) || contains(w.Avoid, st.target.Host) {
			continue
		}
		overdue := now.Sub(st.health.ejectedUntil) > probeOverdueFactor*minEjection
		if !w.Idempotent && !overdue {
			continue
		}
		if st.health.state == TargetEjected {
			b.changeHealth(now, st, targetProbe)
		}
		return st
	}
	return nil
}

// removeState removes st from states, whose array it reuses.
func removeState(states []*targetState, st *targetState) []*targetState {
	kept := states[:0]
	for _, other := range states {
		if other != st {
			kept = append(kept, other)
		}
	}
	return kept
}
