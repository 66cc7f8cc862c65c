package standin

import (
	"sort"
	"sync"
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=RunOutcome,ChangeKind,FailMode -transform=kebab -text -json -trimprefix=Run,Change,Fail -output=records_enumer.go

// RunOutcome is how a target's run of a request ended, as the target saw it.
type RunOutcome int

// Outcomes of runs.
const (
	// RunInProgress runs have not ended.
	RunInProgress RunOutcome = iota
	// RunWhole runs sent their whole answer.
	RunWhole
	// RunCut runs were cut off after they started.
	RunCut
	// RunRefused requests were refused before they started.
	RunRefused
)

// Run is a target's record of one arrival of a request.
type Run struct {
	Host host.ID `json:"host"`
	// Boot is the host's start that the request arrived in.
	Boot int `json:"boot"`
	// Request is the Siskincross-Request-Id that the target got.
	Request string `json:"request"`
	// Key is the Idempotency-Key that the target got.
	Key string `json:"key,omitempty"`
	// Caller is the caller's own serial, from X-Caller.
	Caller  string     `json:"caller,omitempty"`
	Path    string     `json:"path"`
	Outcome RunOutcome `json:"outcome"`
	// Started is the time of arrival.
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
	// SlotsInUse counts the requests and tasks on the host right after the arrival.
	SlotsInUse int `json:"slots-in-use"`
	// Fault names the fault switch that spoilt the answer; empty if none did.
	Fault string `json:"fault,omitempty"`
}

// TaskRun is a worker's record of one task.
type TaskRun struct {
	Host     host.ID            `json:"host"`
	Spec     platform.TaskSpec  `json:"spec"`
	State    platform.TaskState `json:"state"`
	Started  time.Time          `json:"started"`
	Ended    time.Time          `json:"ended,omitzero"`
	Reason   string             `json:"reason,omitempty"`
	Digest   string             `json:"digest,omitempty"`
	Resumed  time.Duration      `json:"resumed,omitempty"`
	Progress time.Duration      `json:"progress"`
}

// ChangeKind is what happened to a host.
type ChangeKind int

// Kinds of changes of a host.
const (
	ChangeDrained ChangeKind = iota
	ChangeUndrained
	ChangeRebooted
	// ChangeReturned is the end of a reboot.
	ChangeReturned
	ChangeFailed
	ChangeRecovered
	ChangeLeaving
	ChangeGone
	// ChangeConnections marks a connection above the host's capacity, which it closed at once.
	ChangeConnections
)

// Change is one entry of a host's history.
type Change struct {
	Host host.ID    `json:"host"`
	At   time.Time  `json:"at"`
	Kind ChangeKind `json:"kind"`
	// Fault tells that a fault switch made the change; otherwise a call of the platform's services did.
	Fault bool `json:"fault,omitempty"`
	// Operation is the ID of a reboot.
	Operation string `json:"operation,omitempty"`
}

// Records is what the targets and the platform saw.
type Records struct {
	// Runs is ordered by Started.
	Runs []Run `json:"runs"`
	// Tasks is ordered by Started.
	Tasks []TaskRun `json:"tasks"`
	// Changes is ordered by At.
	Changes []Change    `json:"changes"`
	Table   TableCounts `json:"table"`
}

// Records returns what was seen so far.
func (p *Platform) Records() Records {
	var r Records
	for _, h := range p.hosts {
		r.Tasks = append(r.Tasks, h.taskRecords(time.Now())...)
	}
	r.Runs, r.Changes = p.recorder.snapshot(time.Now())
	sort.SliceStable(r.Tasks, func(i, j int) bool { return r.Tasks[i].Started.Before(r.Tasks[j].Started) })
	r.Table = p.Table.Counts()
	return r
}

// recorder keeps the runs and changes of all hosts.
type recorder struct {
	mu       sync.Mutex
	requests []Run
	changes  []Change
}

// addRequest keeps a run and returns its index.
func (j *recorder) addRequest(run Run) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, run)
	return len(j.requests) - 1
}

// completeRequest completes the run at index.
func (j *recorder) completeRequest(index int, outcome RunOutcome, at time.Time, fault string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[index].Outcome = outcome
	j.requests[index].Finished = at
	j.requests[index].Fault = fault
}

func (j *recorder) addChanges(changes ...Change) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, changes...)
}

// snapshot returns the runs and the changes until now.
func (j *recorder) snapshot(now time.Time) ([]Run, []Change) {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := append([]Run(nil), j.requests...)
	sort.SliceStable(runs, func(i, k int) bool { return runs[i].Started.Before(runs[k].Started) })
	var changes []Change
	for _, change := range j.changes {
		if !change.At.After(now) {
			changes = append(changes, change)
		}
	}
	sort.SliceStable(changes, func(i, k int) bool { return changes[i].At.Before(changes[k].At) })
	return runs, changes
}
