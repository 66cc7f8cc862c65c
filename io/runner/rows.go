package runner

import (
	"encoding/json"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

// Tables. The rows of a pool lie in the part that has its name.
const (
	// fleetTable holds the members, in the empty partition, and the holder of each pool's duty, in the pool's partition.
	fleetTable = "fleet"
	// jobTable holds the states of all jobs, by ID.
	jobTable = "job"
	// progressTable holds the progress of jobs that have started and are not final, by ID. A row is written in one
	// transaction with the job's state, so both have the same version.
	progressTable = "progress"
	// countTable holds the numbers of waiting jobs, by queue.
	countTable = "count"
	// queueTablePrefix is the prefix of the table with the specifications of one pool's jobs that are not final. A row
	// is removed when its job becomes final, so a removal tells the duty's holder of a cancel.
	queueTablePrefix = "queue-"

	memberPrefix = "member/"
	holderKey    = "holder"
	// reservedPrefix begins the keys of a queue table that don't belong to jobs; no job ID begins with it. firstJobKey
	// is greater than all of them.
	reservedPrefix = "!"
	firstJobKey    = "\""
	fenceKey       = reservedPrefix + "fence"
	rosterKey      = reservedPrefix + "roster"
	pendingKey     = "pending"
)

// queueTable returns the name of a pool's queue table.
func queueTable(pool string) string { return queueTablePrefix + pool }

// jobKey returns the key of a job's state row.
func jobKey(pool string, id work.JobID) platform.RowKey {
	return platform.RowKey{Table: jobTable, Partition: pool, Key: string(id)}
}

// progressKey returns the key of a job's progress row.
func progressKey(pool string, id work.JobID) platform.RowKey {
	return platform.RowKey{Table: progressTable, Partition: pool, Key: string(id)}
}

// specKey returns the key of a job's specification row.
func specKey(pool string, id work.JobID) platform.RowKey {
	return platform.RowKey{Table: queueTable(pool), Partition: pool, Key: string(id)}
}

// reservedKey returns the key of a row of a pool's queue table that doesn't belong to a job.
func reservedKey(pool, key string) platform.RowKey {
	return platform.RowKey{Table: queueTable(pool), Partition: pool, Key: key}
}

// holderRow names the holder of a duty. The version of its row is the epoch.
type holderRow struct {
	Holder string `json:"holder"`
	// Term is the number of takeovers of the duty.
	Term int `json:"term"`
	// ForcedMillis is the latest time at which the duty can have been taken from a holder that may not have ended, by the
	// store's clock; zero if it never was. It is absent if that is not known, and in rows of earlier versions.
	ForcedMillis *int64 `json:"forced-millis,omitempty"`
}

// rosterRow holds the incarnations of workers on which tasks of the pool may run.
type rosterRow struct {
	Incarnations []incarnationRow `json:"lives"`
	// Unsettled holds the incarnations whose later ones may have carried out acknowledgements that were sent to them. It is absent in rows
	// of earlier versions.
	Unsettled []incarnationRow `json:"unsettled,omitempty"`
	// Unfenced holds incarnations that are not among the former, of which a later one may carry out start orders that got no answer. It is
	// absent in rows of earlier versions.
	Unfenced []incarnationRow `json:"unfenced,omitempty"`
}

// incarnation returns the incarnation that the row names.
func (r incarnationRow) incarnation() work.Incarnation {
	return work.Incarnation{Worker: r.Worker, StartMillis: r.StartMillis}
}

// newIncarnationRow returns the row of an incarnation and where it is called.
func newIncarnationRow(incarnation work.Incarnation, address string) incarnationRow {
	return incarnationRow{Worker: incarnation.Worker, StartMillis: incarnation.StartMillis, Address: address}
}

type incarnationRow struct {
	Worker      string `json:"worker"`
	StartMillis int64  `json:"born"`
	// Address is where the incarnation is called; empty if it isn't known.
	Address string `json:"address,omitempty"`
}

// endpoint returns where the incarnation is called.
func (r incarnationRow) endpoint() work.Endpoint {
	return work.Endpoint{Incarnation: r.incarnation(), Address: r.Address}
}

// specRow is the stored form of work.Job.
type specRow struct {
	Queue string `json:"queue"`
	// Organisation is absent in rows of earlier versions and of jobs that need no key.
	Organisation      string            `json:"organisation,omitempty"`
	Spec              string            `json:"spec"`
	Steps             []stepRow         `json:"steps"`
	Repeat            *repeatRow        `json:"repeat,omitempty"`
	AcceptedMillis    int64             `json:"accepted-millis"`
	Priority          int               `json:"priority,omitempty"`
	MaxFailedAttempts int               `json:"attempts"`
	Factor            float64           `json:"factor,omitempty"`
	SlackMillis       int64             `json:"slack-millis,omitempty"`
	PolicyService     *policyServiceRow `json:"advice,omitempty"`
}

type repeatRow struct {
	Count        int   `json:"count"`
	FirstMillis  int64 `json:"first-millis"`
	PeriodMillis int64 `json:"period-millis"`
}

type policyServiceRow struct {
	CallMillis      int64 `json:"decision-millis"`
	PerWorkerMillis int64 `json:"each-millis"`
	ValidityMillis  int64 `json:"validity-millis"`
}

type stepRow struct {
	TaskCount        int    `json:"tasks"`
	MilliCores       int    `json:"milli-cores,omitempty"`
	MemoryMB         int    `json:"memory-mb,omitempty"`
	Accelerators     int    `json:"accelerators,omitempty"`
	EstimateMillis   int64  `json:"estimate-millis,omitempty"`
	DependsOn        []int  `json:"after,omitempty"`
	HasCheckpoints   bool   `json:"checkpoints,omitempty"`
	Gang             bool   `json:"gang,omitempty"`
	PreferSameRack   bool   `json:"same-rack,omitempty"`
	RequiredLabel    string `json:"label,omitempty"`
	DataRack         string `json:"data-rack,omitempty"`
	SpreadLimit      int    `json:"spread-limit,omitempty"`
	Speculative      bool   `json:"copies,omitempty"`
	LongRunning      bool   `json:"lasting,omitempty"`
	Image            string `json:"image,omitempty"`
	TailTargetMillis int64  `json:"tail-millis,omitempty"`
	BestEffort       bool   `json:"filling,omitempty"`
	MaxUnavailable   *int   `json:"tolerated-loss,omitempty"`
}

// stateRow is the row of a job's state, which outlives its specification.
type stateRow struct {
	State work.State `json:"state"`
	// Organisation is absent in rows of earlier versions and of jobs that need no key; anybody may read those.
	Organisation string `json:"organisation,omitempty"`
	// Barred is set if the job was cancelled when it wasn't stored. It is never stored then, and counts as none.
	Barred bool `json:"barred,omitempty"`
}

// isBarred reports whether a row only keeps a job from being stored.
func isBarred(row platform.VersionedRow) bool {
	var state stateRow
	return json.Unmarshal(row.Value, &state) == nil && state.Barred
}

// encodedState returns the value of the row of a job's state.
func encodedState(s work.State, organisation string) []byte {
	return encodeRow(stateRow{State: s, Organisation: organisation})
}

// newSpecRow returns the stored form of a job.
func newSpecRow(j work.Job) specRow {
	row := specRow{
		Queue: j.Queue, Organisation: j.Organisation, Spec: j.Spec, AcceptedMillis: j.AcceptedAt.UnixMilli(), Priority: j.Priority, MaxFailedAttempts: j.MaxFailedAttempts,
		Factor: j.Objective.Factor, SlackMillis: j.Objective.Slack.Milliseconds(),
	}
	if j.Repeat.Count > 0 {
		row.Repeat = &repeatRow{j.Repeat.Count, j.Repeat.First.UnixMilli(), j.Repeat.Period.Milliseconds()}
	}
	if j.PolicyService.Required() {
		row.PolicyService = &policyServiceRow{j.PolicyService.CallDuration.Milliseconds(), j.PolicyService.DurationPerWorker.Milliseconds(), j.PolicyService.TicketValidity.Milliseconds()}
	}
	for _, s := range j.Steps {
		row.Steps = append(row.Steps, newStepRow(s))
	}
	return row
}

func newStepRow(s work.Step) stepRow {
	row := stepRow{
		TaskCount: s.TaskCount, MilliCores: s.Demand.MilliCores, MemoryMB: s.Demand.MemoryMB, Accelerators: s.Demand.Accelerators,
		EstimateMillis: s.Estimate.Milliseconds(), DependsOn: s.DependsOn, HasCheckpoints: s.HasCheckpoints, Gang: s.Gang,
		PreferSameRack: s.PreferSameRack, RequiredLabel: s.RequiredLabel, DataRack: s.DataRack, SpreadLimit: s.SpreadLimit, Speculative: s.Speculative,
		LongRunning: s.LongRunning, Image: s.Image, TailTargetMillis: s.TailLatencyTarget.Milliseconds(), BestEffort: s.BestEffort,
	}
	if s.HasMaxUnavailable {
		row.MaxUnavailable = &s.MaxUnavailable
	}
	return row
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (r specRow) job(id work.JobID) work.Job {
	j := work.Job{
		ID: id, Queue: r.Queue, Organisation: r.Organisation, Spec: r.Spec, AcceptedAt: time.UnixMilli(r.AcceptedMillis), Priority: r.Priority,
		MaxFailedAttempts: r.MaxFailedAttempts,
		Objective:         work.Objective{Factor: r.Factor, Slack: milliseconds(r.SlackMillis)},
	}
	if r.Repeat != nil {
		j.Repeat = work.Repeat{
			Count: r.Repeat.Count, First: time.UnixMilli(r.Repeat.FirstMillis), Period: milliseconds(r.Repeat.PeriodMillis),
		}
	}
	if r.PolicyService != nil {
		j.PolicyService = work.PolicyService{
			CallDuration: milliseconds(r.PolicyService.CallMillis), DurationPerWorker: milliseconds(r.PolicyService.PerWorkerMillis), TicketValidity: milliseconds(r.PolicyService.ValidityMillis),
		}
	}
	for _, s := range r.Steps {
		j.Steps = append(j.Steps, s.step())
	}
	return j
}

func (r stepRow) step() work.Step {
	s := work.Step{
		TaskCount: r.TaskCount,
		Demand:    work.Resources{MilliCores: r.MilliCores, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators},
		Estimate:  milliseconds(r.EstimateMillis), DependsOn: r.DependsOn, HasCheckpoints: r.HasCheckpoints, Gang: r.Gang,
		PreferSameRack: r.PreferSameRack, RequiredLabel: r.RequiredLabel, DataRack: r.DataRack, SpreadLimit: r.SpreadLimit, Speculative: r.Speculative,
		LongRunning: r.LongRunning, Image: r.Image, TailLatencyTarget: milliseconds(r.TailTargetMillis), BestEffort: r.BestEffort,
	}
	if r.MaxUnavailable != nil {
		s.MaxUnavailable, s.HasMaxUnavailable = *r.MaxUnavailable, true
	}
	return s
}

// decodeJob returns the job of a specification row.
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

// encodeRow returns the JSON encoding of a row type. It panics on a type that can't be encoded, which rows never are.
func encodeRow(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return value
}

// decodeRow decodes a row's value, and returns ErrUnreadableRow if that fails.
func decodeRow(row platform.VersionedRow, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return ErrUnreadableRow{Key: row.RowKey, Cause: err}
	}
	return nil
}
