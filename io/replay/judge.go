package replay

import (
	"fmt"
	"time"

	"siskincross/io/standin"
)

// clock is how times stand in the report.
const clock = "15:04:05.000"

// Evidence is what callers, operators, targets and the platform saw. The judge knows nothing else.
type Evidence struct {
	Trace Trace
	// speed divides the times of the trace.
	speed float64
	// Begun is the moment of the trace's 0s.
	Begun, Ended time.Time
	Calls        []Call
	Jobs         []JobCall
	Changes      []Change
	Probes       []Probe
	Stops        []Stop
	// Killed holds the entry hosts that were killed.
	Killed  map[string]time.Time
	Records standin.Records

	ownership *ownership
	fleet     standin.Fleet
	// pools holds the pool of each queue.
	pools map[string]string
}

// Verdict is the judgement on one property.
type Verdict struct {
	Property string `json:"property"`
	Held     bool   `json:"held"`
	// Cases counts what was looked at. A property without cases was not provoked and counts as broken.
	Cases int `json:"cases"`
	// Provoked counts the cases in which a failure, a race or planned work was in play.
	Provoked int `json:"provoked"`
	Broken   int `json:"broken"`
	// First is the first offending event.
	First string `json:"first,omitempty"`
	// Looked says what the cases are.
	Looked string `json:"looked"`
}

// Property is one of the outcomes that must always hold.
type Property struct {
	Name string
	// Looked says what is counted as a case.
	Looked string
	check  func(Evidence) finding
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

// judge judges all properties.
func (e Evidence) judge() []Verdict {
	var verdicts []Verdict
	for _, p := range Properties() {
		f := p.check(e)
		verdicts = append(verdicts, f.verdict(p))
	}
	return verdicts
}

// finding collects the cases of one property.
type finding struct {
	cases, provoked, broken int
	first                   string
	firstAt                 time.Time
}

func (f finding) verdict(p Property) Verdict {
	v := Verdict{Property: p.Name, Looked: p.Looked, Cases: f.cases, Provoked: f.provoked, Broken: f.broken, First: f.first}
	if f.cases == 0 || f.provoked == 0 {
		v.First = "not provoked"
		if f.broken > 0 {
			v.First = f.first
		}
		return v
	}
	v.Held = f.broken == 0
	return v
}

// look counts a case.
func (f *finding) look(provoked bool) {
	f.cases++
	if provoked {
		f.provoked++
	}
}

// breach counts an offence and keeps the earliest.
func (f *finding) breach(at time.Time, format string, args ...any) {
	f.broken++
	if f.first == "" || at.Before(f.firstAt) {
		f.firstAt = at
		f.first = at.Format(clock) + ": " + fmt.Sprintf(format, args...)
	}
}
