package replay

import (
	"fmt"
	"time"

	"siskincross/io/standin"
)

// timeFormat is the layout of times in the report.
const timeFormat = "15:04:05.000"

// History is the record of a replay by the callers, operators, targets and the
// platform. Properties are checked on it alone, so that they don't depend on what
// the entry hosts say of themselves.
type History struct {
	Trace Trace
	// speed divides the times of the trace.
	speed float64
	// Started is the time of 0s in the trace, Ended that of its last event.
	Started, Ended time.Time
	Calls          []Call
	Jobs           []JobCall
	Changes        []Change
	Probes         []Probe
	Stops          []Stop
	// Killed maps each killed entry host to the time when it was killed.
	Killed  map[string]time.Time
	Records standin.Records

	ownership *ownership
	fleet     standin.Fleet
	// pools maps each queue to its pool.
	pools map[string]string
}

// Verdict is the result of checking one property.
type Verdict struct {
	Property string `json:"property"`
	Held     bool   `json:"held"`
	// Cases is the number of cases checked. A property without cases was not provoked and counts as violated.
	Cases int `json:"cases"`
	// Provoked is the number of cases affected by a failure, a race or planned work.
	Provoked   int `json:"provoked"`
	Violations int `json:"broken"`
	// FirstViolation describes the earliest violation, or tells that the property was not provoked.
	FirstViolation string `json:"first,omitempty"`
	// CaseDescription tells what a case of the property is.
	CaseDescription string `json:"looked"`
}

// Property is an invariant that must hold in every replay.
type Property struct {
	Name string
	// CaseDescription tells what is counted as a case.
	CaseDescription string
	check           func(History) finding
}

// Properties returns the properties in the order of the report.
func Properties() []Property {
	return []Property{
		{"availability-budget", "planned disruptions, each against the pool's budget as it stood", checkBudgets},
		{"one-pool", "moves of hosts, and the runs and tasks of each host against its owner", checkOwnership},
		{"whole-answers", "answers of requests and jobs against what the target sent", checkAnswers},
		{"not-run-means-not-run", "requests that were told not to have run", checkNotRun},
		{"at-most-once", "requests and jobs that may run once, and all those with a key", checkAtMostOnce},
		{"leaving-no-new-work", "hosts that were drained or leaving for longer than the grace", checkLeaving},
		{"graceful-stops", "planned stops of entry hosts and reboots of hosts", checkStops},
		{"configuration", "looks at an entry host for a change that was accepted or lost its race", checkConfiguration},
	}
}

// checkProperties checks all properties.
func (h History) checkProperties() []Verdict {
	var verdicts []Verdict
	for _, p := range Properties() {
		f := p.check(h)
		verdicts = append(verdicts, f.verdict(p))
	}
	return verdicts
}

// finding counts the cases and violations of one property.
type finding struct {
	cases, provoked, violations int
	firstViolation              string
	firstViolationTime          time.Time
}

// verdict returns the verdict on p. Without provoked cases the property does not hold.
func (f finding) verdict(p Property) Verdict {
	v := Verdict{Property: p.Name, CaseDescription: p.CaseDescription, Cases: f.cases, Provoked: f.provoked, Violations: f.violations, FirstViolation: f.firstViolation}
	if f.cases == 0 || f.provoked == 0 {
		v.FirstViolation = "not provoked"
		if f.violations > 0 {
			v.FirstViolation = f.firstViolation
		}
		return v
	}
	v.Held = f.violations == 0
	return v
}

// addCase counts a case, as provoked if a failure, a race or planned work affected it.
func (f *finding) addCase(provoked bool) {
	f.cases++
	if provoked {
		f.provoked++
	}
}

// addViolation counts a violation and keeps the description of the earliest.
func (f *finding) addViolation(at time.Time, format string, args ...any) {
	f.violations++
	if f.firstViolation == "" || at.Before(f.firstViolationTime) {
		f.firstViolationTime = at
		f.firstViolation = at.Format(timeFormat) + ": " + fmt.Sprintf(format, args...)
	}
}
