package job

import (
	_ "embed" // The charts are embedded in the program.

	"siskincross/core/chart"
)

// States of the job chart in job.toml.
const (
	StateQueued     chart.State = "queued"
	StateRunning    chart.State = "running"
	StateCancelling chart.State = "cancelling"
	StateFinished   chart.State = "finished"
	StateFailed     chart.State = "failed"
	StateCancelled  chart.State = "cancelled"
	StateUnknown    chart.State = "unknown"
	StateParked     chart.State = "parked"
)

// Events of the job chart.
const (
	eventStart   chart.Event = "start"
	eventFinish  chart.Event = "finish"
	eventRequeue chart.Event = "requeue"
	eventFail    chart.Event = "fail"
	eventLose    chart.Event = "lose"
	eventPark    chart.Event = "park"
	eventRelease chart.Event = "release"
	eventCancel  chart.Event = "cancel"
)

// States of the attempt chart in attempt.toml.
const (
	AttemptCommitted chart.State = "committed"
	AttemptRunning   chart.State = "running"
	AttemptStopping  chart.State = "stopping"
	AttemptFinished  chart.State = "finished"
	AttemptFailed    chart.State = "failed"
	AttemptStopped   chart.State = "stopped"
	AttemptLapsed    chart.State = "lapsed"
	AttemptRefused   chart.State = "refused"
)

// Events of the attempt chart.
const (
	AttemptEventRunning chart.Event = "see"
	AttemptEventRefuse  chart.Event = "refuse"
	AttemptEventStop    chart.Event = "stop"
	AttemptEventFinish  chart.Event = "finish"
	AttemptEventFail    chart.Event = "fail"
	AttemptEventStopped chart.Event = "end"
	AttemptEventLapse   chart.Event = "lapse"
)

//go:embed job.toml
var jobChartText string

//go:embed attempt.toml
var attemptChartText string

var (
	jobChart     = chart.MustParse(jobChartText)
	attemptChart = chart.MustParse(attemptChartText)
)

// IsFinal reports whether s is a final state of a job, after which the job never changes.
func IsFinal(s chart.State) bool {
	return jobChart.IsFinal(s)
}

// MayHaveAttempt reports whether a job in state s may have an attempt on a worker.
func MayHaveAttempt(s chart.State) bool {
	return s == StateRunning || s == StateCancelling
}

// Charts returns the state charts of jobs and of attempts.
func Charts() []chart.Chart {
	return []chart.Chart{jobChart, attemptChart}
}
