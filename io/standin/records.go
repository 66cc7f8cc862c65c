package standin

import (
	"sort"
	"sync"
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=RunOutcome,ChangeKind,FailMode -transform=kebab -text -json -trimprefix=Run,Change,Fail -output=records_enumer.go

// RunOutcome is how the handling of a request ended, as the target saw it.
type RunOutcome int

// Outcomes of requests.
const (
	// RunInProgress means that the request has not ended.
	RunInProgress RunOutcome = iota
	// RunWhole means that the target wrote a complete response.
	RunWhole
	// RunCut means that the request was aborted after it was admitted, so that the response is missing, incomplete or malformed.
	RunCut
	// RunRefused means that the target refused the request before it started.
	RunRefused
)

// RequestRecord is a target's record of one request that it received. A retried request has one record per attempt.
type RequestRecord struct {
	Host host.ID `json:"host"`
	// BootCount is the boot count of the host when the request arrived.
	BootCount int `json:"boot"`
	// RequestID is the value of the Siskincross-Request-Id header.
	RequestID string `json:"request"`
	// IdempotencyKey is the value of the Idempotency-Key header.
	IdempotencyKey string `json:"key,omitempty"`
	// CallerSerial is the value of the X-Caller header, the caller's own serial number of the request.
	CallerSerial string     `json:"caller,omitempty"`
	Path         string     `json:"path"`
	Outcome      RunOutcome `json:"outcome"`
	// Started is when the request arrived.
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
	// SlotsInUse is the number of slots that requests and tasks used on the host right after the request was admitted or
	// refused.
	SlotsInUse int `json:"slots-in-use"`
	// InjectedFault names the fault switch that altered or delayed the response; empty if there was none.
	InjectedFault string `json:"fault,omitempty"`
}

// TaskRecord is a worker's record of one task.
type TaskRecord struct {
	Host    host.ID            `json:"host"`
	Spec    platform.TaskSpec  `json:"spec"`
	State   platform.TaskState `json:"state"`
	Started time.Time          `json:"started"`
	Ended   time.Time          `json:"ended,omitzero"`
	// Reason tells why the task ended; empty if it is running or finished.
	Reason string `json:"reason,omitempty"`
	// ResultDigest is the SHA-256 digest of the result, in hexadecimal.
	ResultDigest string `json:"digest,omitempty"`
	// ResumedProgress is the progress that the task took over from a checkpoint.
	ResumedProgress time.Duration `json:"resumed,omitempty"`
	// Progress is the work done so far, as run time at a CPU share of 1. It includes what was taken over from a checkpoint.
	Progress time.Duration `json:"progress"`
}

// ChangeKind is the kind of a change of a host.
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
	// ChangeConnections means that the host closed a new connection because it exceeded the host's capacity.
	ChangeConnections
)

// HostChange is the record of one change of a host.
type HostChange struct {
	Host host.ID    `json:"host"`
	At   time.Time  `json:"at"`
	Kind ChangeKind `json:"kind"`
	// Injected is set if a fault switch caused the change, and not a call of the platform's services.
	Injected bool `json:"fault,omitempty"`
	// OperationID is the ID of the reboot that caused the change; empty for other kinds.
	OperationID string `json:"operation,omitempty"`
}

// Records is what the targets, the workers and the platform recorded.
type Records struct {
	// Requests is ordered by Started.
	Requests []RequestRecord `json:"runs"`
	// Tasks is ordered by Started.
	Tasks []TaskRecord `json:"tasks"`
	// HostChanges is ordered by At.
	HostChanges []HostChange `json:"changes"`
	TableCounts TableCounts  `json:"table"`
}

// Records returns the records so far.
func (p *Platform) Records() Records {
	var r Records
	for _, h := range p.hosts {
		r.Tasks = append(r.Tasks, h.taskRecords(time.Now())...)
	}
	r.Requests, r.HostChanges = p.recorder.snapshot(time.Now())
	sort.SliceStable(r.Tasks, func(i, j int) bool { return r.Tasks[i].Started.Before(r.Tasks[j].Started) })
	r.TableCounts = p.Table.Counts()
	return r
}

// recorder collects the records of requests and changes of all hosts.
type recorder struct {
	mu       sync.Mutex
	requests []RequestRecord
	changes  []HostChange
}

// addRequest adds the record of a request and returns its index.
func (r *recorder) addRequest(request RequestRecord) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
	return len(r.requests) - 1
}

// completeRequest sets the outcome of the request at index.
func (r *recorder) completeRequest(index int, outcome RunOutcome, at time.Time, fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[index].Outcome = outcome
	r.requests[index].Finished = at
	r.requests[index].InjectedFault = fault
}

// addChanges adds changes, whose times may lie in the future.
func (r *recorder) addChanges(changes ...HostChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, changes...)
}

// snapshot returns all requests and the changes until now, both in order of time.
func (r *recorder) snapshot(now time.Time) ([]RequestRecord, []HostChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := append([]RequestRecord(nil), r.requests...)
	sort.SliceStable(requests, func(i, k int) bool { return requests[i].Started.Before(requests[k].Started) })
	var changes []HostChange
	for _, change := range r.changes {
		if !change.At.After(now) {
			changes = append(changes, change)
		}
	}
	sort.SliceStable(changes, func(i, k int) bool { return changes[i].At.Before(changes[k].At) })
	return requests, changes
}
