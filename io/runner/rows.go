package runner

import (
	"encoding/json"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

// Tables. The rows of a pool lie in the part that has its name.
const (
	// fleetTable holds the members, in the empty part, and the holder of each pool's duty, in the pool's part.
	fleetTable = "fleet"
	// jobTable holds the state of all jobs by ID.
	jobTable = "job"
	// progressTable holds what is done of the jobs that have begun and are not final, by ID. A row is written in one transaction with
	// the job's state, so both have one version.
	progressTable = "progress"
	// countTable holds how many jobs wait, by queue.
	countTable = "count"
	// queueTablePrefix begins the table with the specifications of one pool's jobs that are not
	// final. A job's row is there until the job is final, so its removal tells the duty holder of a cancel.
	queueTablePrefix = "queue-"

	memberPrefix = "member/"
	holderKey    = "holder"
	// Keys of a queue table that are no jobs begin with reservedPrefix, which no ID does; firstJobKey is above them all.
	reservedPrefix = "!"
	firstJobKey    = "\""
	fenceKey       = reservedPrefix + "fence"
	rosterKey      = reservedPrefix + "roster"
	pendingKey     = "pending"
)

func queueTable(pool string) string { return queueTablePrefix + pool }

func jobKey(pool string, id work.JobID) platform.RowKey {
	return platform.RowKey{Table: jobTable, Partition: pool, Key: string(id)}
}

func progressKey(pool string, id work.JobID) platform.RowKey {
	return platform.RowKey{Table: progressTable, Partition: pool, Key: string(id)}
}

func specKey(pool string, id work.JobID) platform.RowKey {
	return platform.RowKey{Table: queueTable(pool), Partition: pool, Key: string(id)}
}

func reservedKey(pool, key string) platform.RowKey {
	return platform.RowKey{Table: queueTable(pool), Partition: pool, Key: key}
}

// holderRow names the holder of a pool's duty. Its row's version is the epoch.
type holderRow struct {
	Holder string `json:"holder"`
	// Term counts the takeovers.
	Term int `json:"term"`
}

// rosterRow names the lives of workers on which tasks of the pool may run.
type rosterRow struct {
	Lives []lifeRow `json:"lives"`
}

type lifeRow struct {
	Worker string `json:"worker"`
	Born   int64  `json:"born"`
}

// specRow is the stored form of work.Job.
type specRow struct {
	Queue          string     `json:"queue"`
	Spec           string     `json:"spec"`
	Steps          []stepRow  `json:"steps"`
	Repeat         *repeatRow `json:"repeat,omitempty"`
	AcceptedMillis int64      `json:"accepted-millis"`
	Priority       int        `json:"priority,omitempty"`
	Attempts       int        `json:"attempts"`
	Factor         float64    `json:"factor,omitempty"`
	SlackMillis    int64      `json:"slack-millis,omitempty"`
	Advice         *adviceRow `json:"advice,omitempty"`
}

type repeatRow struct {
	Count        int   `json:"count"`
	FirstMillis  int64 `json:"first-millis"`
	PeriodMillis int64 `json:"period-millis"`
}

type adviceRow struct {
	DecisionMillis int64 `json:"decision-millis"`
	EachMillis     int64 `json:"each-millis"`
	ValidityMillis int64 `json:"validity-millis"`
}

type stepRow struct {
	Tasks          int    `json:"tasks"`
	MilliCores     int    `json:"milli-cores,omitempty"`
	MemoryMB       int    `json:"memory-mb,omitempty"`
	Accelerators   int    `json:"accelerators,omitempty"`
	EstimateMillis int64  `json:"estimate-millis,omitempty"`
	After          []int  `json:"after,omitempty"`
	Checkpoints    bool   `json:"checkpoints,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	SameRack       bool   `json:"same-rack,omitempty"`
	Label          string `json:"label,omitempty"`
	DataRack       string `json:"data-rack,omitempty"`
	SpreadLimit    int    `json:"spread-limit,omitempty"`
	Copies         bool   `json:"copies,omitempty"`
	Lasting        bool   `json:"lasting,omitempty"`
	Image          string `json:"image,omitempty"`
	TailMillis     int64  `json:"tail-millis,omitempty"`
	Filling        bool   `json:"filling,omitempty"`
	ToleratedLoss  *int   `json:"tolerated-loss,omitempty"`
}

// stateValue is the value of a job's row of its state.
func stateValue(s work.State) []byte {
	value, err := work.Progress{}.WithState(s).Encode()
	if err != nil {
		panic(err) // a state without details is always encodable
	}
	return value
}

func newSpecRow(j work.Job) specRow {
	row := specRow{
		Queue: j.Queue, Spec: j.Spec, AcceptedMillis: j.AcceptedAt.UnixMilli(), Priority: j.Priority, Attempts: j.MaxFailedAttempts,
		Factor: j.Objective.Factor, SlackMillis: j.Objective.Slack.Milliseconds(),
	}
	if j.Repeat.Count > 0 {
		row.Repeat = &repeatRow{j.Repeat.Count, j.Repeat.First.UnixMilli(), j.Repeat.Period.Milliseconds()}
	}
	if j.PolicyService.Required() {
		row.Advice = &adviceRow{j.PolicyService.CallDuration.Milliseconds(), j.PolicyService.DurationPerWorker.Milliseconds(), j.PolicyService.TicketValidity.Milliseconds()}
	}
	for _, s := range j.Steps {
		row.Steps = append(row.Steps, newStepRow(s))
	}
	return row
}

func newStepRow(s work.Step) stepRow {
	row := stepRow{
		Tasks: s.TaskCount, MilliCores: s.Demand.MilliCores, MemoryMB: s.Demand.MemoryMB, Accelerators: s.Demand.Accelerators,
		EstimateMillis: s.Estimate.Milliseconds(), After: s.DependsOn, Checkpoints: s.HasCheckpoints, Gang: s.Gang,
		SameRack: s.PreferSameRack, Label: s.RequiredLabel, DataRack: s.DataRack, SpreadLimit: s.SpreadLimit, Copies: s.Speculative,
		Lasting: s.LongRunning, Image: s.Image, TailMillis: s.TailLatencyTarget.Milliseconds(), Filling: s.BestEffort,
	}
	if s.HasMaxUnavailable {
		row.ToleratedLoss = &s.MaxUnavailable
	}
	return row
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (r specRow) job(id work.JobID) work.Job {
	j := work.Job{
		ID: id, Queue: r.Queue, Spec: r.Spec, AcceptedAt: time.UnixMilli(r.AcceptedMillis), Priority: r.Priority,
		MaxFailedAttempts: r.Attempts,
		Objective:         work.Objective{Factor: r.Factor, Slack: millis(r.SlackMillis)},
	}
	if r.Repeat != nil {
		j.Repeat = work.Repeat{
			Count: r.Repeat.Count, First: time.UnixMilli(r.Repeat.FirstMillis), Period: millis(r.Repeat.PeriodMillis),
		}
	}
	if r.Advice != nil {
		j.PolicyService = work.PolicyService{
			CallDuration: millis(r.Advice.DecisionMillis), DurationPerWorker: millis(r.Advice.EachMillis), TicketValidity: millis(r.Advice.ValidityMillis),
		}
	}
	for _, s := range r.Steps {
		j.Steps = append(j.Steps, s.step())
	}
	return j
}

func (r stepRow) step() work.Step {
	s := work.Step{
		TaskCount: r.Tasks,
		Demand:    work.Resources{MilliCores: r.MilliCores, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators},
		Estimate:  millis(r.EstimateMillis), DependsOn: r.After, HasCheckpoints: r.Checkpoints, Gang: r.Gang,
		PreferSameRack: r.SameRack, RequiredLabel: r.Label, DataRack: r.DataRack, SpreadLimit: r.SpreadLimit, Speculative: r.Copies,
		LongRunning: r.Lasting, Image: r.Image, TailLatencyTarget: millis(r.TailMillis), BestEffort: r.Filling,
	}
	if r.ToleratedLoss != nil {
		s.MaxUnavailable, s.HasMaxUnavailable = *r.ToleratedLoss, true
	}
	return s
}

func decodeJob(row platform.VersionedRow) (work.Job, error) {
	var spec specRow
	if err := json.Unmarshal(row.Value, &spec); err != nil {
		return work.Job{}, ErrUnreadableRow{Key: row.RowKey, Cause: err}
	}
	return spec.job(work.JobID(row.Key)), nil
}

// ErrUnreadableRow is returned for a stored row that can't be decoded.
type ErrUnreadableRow struct {
	Key   platform.RowKey
	Cause error
}

// Error implements error.
func (e ErrUnreadableRow) Error() string {
	return "row " + e.Key.Table + "/" + e.Key.Partition + "/" + e.Key.Key + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrUnreadableRow) Unwrap() error { return e.Cause }

// encodeRow returns the JSON of a row of plain fields, which is always encodable.
func encodeRow(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return value
}

func decodeRow(row platform.VersionedRow, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return ErrUnreadableRow{Key: row.RowKey, Cause: err}
	}
	return nil
}
