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
	// firstServerError is the lowest HTTP status that blames the target.
	firstServerError = 500
	// outlierStreak is the number of failures in a row that makes a suspect at once.
	outlierStreak = 5
	// outlierSamples is the number of answers before a target is compared with the others.
	outlierSamples = 10
	// outlierFailing is the share of failures of a suspect; the median of the others is below half of it.
	outlierFailing = 0.5
	// outlierSlowness is the multiple of the median time that makes a suspect, outlierDelay the least difference.
	outlierSlowness = 4
	outlierDelay    = 50 * time.Millisecond
	// healthWeight is the weight of a new observation in the averages.
	healthWeight = 1.0 / 8
	// minEjection and maxEjection bound how long a target gets no requests before it is probed.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// probeSuccesses is the number of good answers in a row that restore a probed target.
	probeSuccesses = 3
	// forgiveSuccesses is the number of good answers in a row after which earlier ejections no longer count.
	forgiveSuccesses = 100
	// panicShare is the share of suspects from which the fault is taken to lie elsewhere and nothing is ejected.
	panicShare = 0.5
	// probePatience is the multiple of an ejection after which a request that may not be repeated is taken as a probe.
	probePatience = 10
)

// health is what one entry host knows of how well a target answers.
type health struct {
	state chart.State
	// suspect tells that the target is an outlier, whether or not the budget allows its ejection.
	suspect bool
	// why tells what made it a suspect.
	why string
	// streak counts failures in a row, successes good answers in a row while it is probed.
	streak, successes int
	samples           int
	// failing is the moving share of failures, took the moving time of an attempt.
	failing float64
	took    time.Duration
	// until is the end of the ejection; ejections counts those since the target was last healthy for good.
	until     time.Time
	ejections int
}

// outliers is the part of a Board that takes targets out which fail or are slow more than the others.
type outliers struct {
	// allowance is the number of targets that may be ejected at the same time.
	allowance int
	// failing and took are the medians of the targets' health at the last Assess.
	failing float64
	took    time.Duration
	// out holds the seats that are ejected or probed.
	out     []*seat
	changes []HealthChange
}

// HealthChange is a target's ejection or restoration, for the time line.
type HealthChange struct {
	Host  host.ID
	State chart.State
	Why   string
}

// Ejected returns the number of targets that get no requests but probes.
func (b *Board) Ejected() int {
	return len(b.out)
}

// HealthChanges returns the changes since the last call.
func (b *Board) HealthChanges() []HealthChange {
	changes := b.changes
	b.changes = nil
	return changes
}

// judge notes how an attempt ended.
func (b *Board) judge(now time.Time, st *seat, a Attempt, took time.Duration) {
	if a.Fault == FaultRefused || a.Fault == FaultCaller {
		return
	}
	bad := a.Fault != FaultNone || a.Status >= firstServerError
	st.health.observe(bad, took)
	switch {
	case st.health.state == TargetProbed && bad:
		b.move(now, st, targetEject)
	case st.health.state == TargetProbed && st.health.successes >= probeSuccesses:
		b.move(now, st, targetRestore)
	case st.health.state == TargetHealthy && st.health.streak == outlierStreak:
		st.health.compare(b.failing, b.took)
		b.eject(now)
	}
}

func (h *health) observe(bad bool, took time.Duration) {
	h.samples++
	h.took = average(h.took, took)
	if bad {
		h.failing += (1 - h.failing) * healthWeight
		h.streak++
		h.successes = 0
		return
	}
	h.failing -= h.failing * healthWeight
	h.streak = 0
	h.successes++
	if h.successes >= forgiveSuccesses {
		h.ejections = 0
	}
}

// Assess compares the targets with each other and ejects the outliers, as many as allowance
// and the panic threshold let it. It is called every few tens of milliseconds.
func (b *Board) Assess(now time.Time, allowance int) {
	b.allowance = allowance
	b.failing, b.took = b.medians()
	for _, st := range b.all {
		if st.health.state == TargetHealthy {
			st.health.compare(b.failing, b.took)
		}
	}
	b.eject(now)
}

// compare decides whether the target is an outlier among targets with these medians.
func (h *health) compare(failing float64, took time.Duration) {
	compared := h.samples >= outlierSamples
	switch {
	case h.streak >= outlierStreak && failing < outlierFailing/2:
		h.suspect, h.why = true, fmt.Sprintf("%d failures in a row", h.streak)
	case compared && h.failing > outlierFailing && failing < outlierFailing/2:
		h.suspect, h.why = true, fmt.Sprintf("%.0f%% failures", h.failing*100)
	case compared && h.took > outlierSlowness*took && h.took > took+outlierDelay:
		h.suspect, h.why = true, fmt.Sprintf("%s a request, the median is %s", h.took.Round(time.Millisecond), took.Round(time.Millisecond))
	default:
		h.suspect = false
	}
}

func (b *Board) medians() (failing float64, took time.Duration) {
	var failings []float64
	var tooks []time.Duration
	for _, st := range b.all {
		if st.listed && st.health.samples >= outlierSamples {
			failings = append(failings, st.health.failing)
			tooks = append(tooks, st.health.took)
		}
	}
	if len(tooks) == 0 {
		return 0, 0
	}
	sort.Float64s(failings)
	sort.Slice(tooks, func(i, j int) bool { return tooks[i] < tooks[j] })
	return failings[(len(failings)-1)/2], tooks[(len(tooks)-1)/2]
}

// eject takes suspects out while that is allowed. Beyond the panic threshold it puts all back.
func (b *Board) eject(now time.Time) {
	var suspects []*seat
	for _, st := range b.all {
		if st.listed && st.health.suspect && st.health.state == TargetHealthy {
			suspects = append(suspects, st)
		}
	}
	if b.failing >= outlierFailing/2 || float64(len(suspects)+len(b.out)) > panicShare*float64(b.listed) {
		b.panic(now, suspects)
		return
	}
	for _, st := range suspects {
		if len(b.out) >= b.allowance {
			return
		}
		b.move(now, st, targetEject)
	}
}

// panic treats all targets alike: when most of them look bad, the fault is not theirs.
func (b *Board) panic(now time.Time, suspects []*seat) {
	for _, st := range suspects {
		st.health.suspect = false
	}
	for _, st := range append([]*seat(nil), b.out...) {
		b.move(now, st, targetRestore)
	}
}

// move changes a target's health by an event of its chart.
func (b *Board) move(now time.Time, st *seat, e chart.Event) {
	next, err := targetChart.Next(st.health.state, e)
	if err != nil {
		return
	}
	h := &st.health
	switch {
	case next == TargetHealthy:
		h.recover()
		b.out = without(b.out, st)
	case h.state == TargetHealthy:
		b.out = append(b.out, st)
	}
	h.state = next
	if next == TargetEjected {
		h.until = now.Add(min(minEjection<<min(h.ejections, 10), maxEjection))
		h.ejections++
		h.successes = 0
	}
	if next != TargetProbed {
		b.changes = append(b.changes, HealthChange{st.target.Host, next, h.why})
	}
	b.settle(st)
}

// recover forgets what made the target a suspect. What it did before counts on unless its probes went well.
func (h *health) recover() {
	if h.successes >= probeSuccesses {
		*h = health{ejections: h.ejections, successes: h.successes}
	}
	h.suspect, h.streak = false, 0
}

// probe returns a target that w probes, or nil.
func (b *Board) probe(now time.Time, w *Waiter) *seat {
	for _, st := range b.out {
		if !st.listed || st.own > 0 || now.Before(st.health.until) || contains(w.Avoid, st.target.Host) {
			continue
		}
		overdue := now.Sub(st.health.until) > probePatience*minEjection
		if !w.Repeatable && !overdue {
			continue
		}
		if st.health.state == TargetEjected {
			b.move(now, st, targetProbe)
		}
		return st
	}
	return nil
}

func without(seats []*seat, st *seat) []*seat {
	kept := seats[:0]
	for _, other := range seats {
		if other != st {
			kept = append(kept, other)
		}
	}
	return kept
}
