// Package replay replays a recorded trace against complete entry hosts and a
// stand-in for the platform, over loopback TCP, and checks properties of the
// system on what callers, operators, targets and the platform recorded.
package replay

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// traceFile is the name of the trace file in its directory.
const traceFile = "trace.txt"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Kind -transform=kebab -text -trimprefix=Kind -output=kind_enumer.go

// Kind is the kind of an event. docs/replay.md describes each kind.
type Kind int

// Kinds of events.
const (
	// KindPlatform sets the delays of the platform. It must be at 0s.
	KindPlatform Kind = iota
	// KindHosts adds the hosts of one pool. It must be at 0s.
	KindHosts
	// KindSettings sets the periods of the entry hosts. It must be at 0s.
	KindSettings
	// KindEntry starts, stops, kills or replaces an entry host.
	KindEntry
	// KindDemand makes callers send requests for the duration of the event.
	KindDemand
	// KindJob makes callers submit jobs.
	KindJob
	// KindCancel makes callers cancel jobs that have not ended.
	KindCancel
	// KindFail makes hosts fail, and recover if the event has a duration.
	KindFail
	// KindLeave removes a host from the platform after a notice period.
	KindLeave
	// KindAnswers corrupts, delays or duplicates the next responses of targets.
	KindAnswers
	// KindWorker makes a worker fail every task, or never return from reboots.
	KindWorker
	// KindStore makes the table service fail, and the object store with it while it is down.
	KindStore
	// KindList makes the platform's list of hosts fail.
	KindList
	// KindApply changes the configuration.
	KindApply
	// KindEnd ends the trace.
	KindEnd
)

// Event is one line of a trace. The grammar lists the fields that each kind uses.
type Event struct {
	At   time.Duration
	Kind Kind
	// Line is the number of the line in the file, from 1.
	Line int

	// Names of the objects that the event affects.
	Pool, Queue, Team, Host, Rack, Zone string
	// Zones are the availability zones that the racks of the hosts are assigned to in turn.
	Zones []string
	Count int
	// For is the duration of the event; zero means until the end of the trace.
	For time.Duration

	// Fields of platform.
	ListLag, UsageLag, Reboot time.Duration
	// Fields of hosts. Budget is the number of the pool's hosts that may be out of service at the same time.
	Cores, Slots, Connections, RackSize, Budget int
	MemoryBytes                                 int64
	// Fields of settings, the periods of entry hosts.
	Heartbeat, Poll, Lapse, Plan, Vouch, Maintenance, CoolDown, Linger time.Duration
	// Fields of entry. Index is the number of the entry host, from 0.
	Index                      int
	Start, Stop, Kill, Replace bool

	// Fields of demand. Rate is in requests per second. Keyed, Duplicates and Stream are shares in [0, 1] of requests
	// with an idempotency key, of keyed requests that are sent twice, and of requests for a streamed response. Work is
	// the time that a request takes on its target, Bytes the size of the response.
	Rate, Keyed, Duplicates, Stream float64
	Work, Timeout                   time.Duration
	Bytes                           int
	Idempotent, Urgent              bool
	// Fields of job. Fail is the reason that the program fails with; empty means that it succeeds. The
	// program uses UsesMore times the declared cores and memory.
	Fail     string
	UsesMore float64
	// Fields of cancel. Share is the share of unfinished jobs to cancel, in [0, 1].
	Share float64

	// Fields of fail and leave. Hosts that hang accept connections without responding. Notice is the time before a
	// host is removed.
	Hang   bool
	Notice time.Duration
	// Fields of answers: the number of responses of each host to corrupt in each way, and the delay of late ones.
	Duplicate, Cross, Cut, Garbage, Late int
	LateBy                               time.Duration
	// Fields of worker.
	FailTasks, NeverReturns bool
	// Fields of store and list. Slow is the delay of the table service, Flap the share of hosts that the list omits.
	Down                     bool
	Slow                     time.Duration
	LoseAnswers, LoseCommits int
	Empty                    bool
	Flap                     float64

	// Fields of apply. Marker is a queue that only this change adds, in the pool Pool; Values are the parameters that
	// it sets, each NAME:VALUE. RivalMarker and RivalValues belong to a second operator who concurrently applies another
	// change based on the same version.
	Marker, RivalMarker string
	Values, RivalValues []string
	// Fields of end. Answered is the minimum share of requests that must be answered.
	Answered float64
}

// Trace is a parsed trace file. Its events are ordered by At.
type Trace struct {
	Events []Event
}

// ErrTrace is returned for an invalid line of a trace.
type ErrTrace struct {
	Line   int
	Reason string
}

// Error implements error.
func (e ErrTrace) Error() string { return fmt.Sprintf("trace line %d: %s", e.Line, e.Reason) }

// Load reads the trace file of a directory.
func Load(directory string) (Trace, error) {
	file, err := os.Open(filepath.Join(directory, traceFile))
	if err != nil {
		return Trace{}, err
	}
	defer func() { _ = file.Close() }()
	return Parse(file)
}

// Parse reads a trace. Each line holds one event, "TIME KIND [NAME=VALUE]...".
// Empty lines and lines that begin with # are skipped.
func Parse(r io.Reader) (Trace, error) {
	var t Trace
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		event, err := parseEvent(text)
		if err != nil {
			return Trace{}, ErrTrace{Line: line, Reason: err.Error()}
		}
		event.Line = line
		if n := len(t.Events); n > 0 && t.Events[n-1].At > event.At {
			return Trace{}, ErrTrace{Line: line, Reason: "the time is before that of the previous event"}
		}
		t.Events = append(t.Events, event)
	}
	if err := scanner.Err(); err != nil {
		return Trace{}, err
	}
	return t, t.validate()
}

// maxHosts limits the number of hosts in a trace.
const maxHosts = 10_000

// validate checks the rules that concern more than one event.
func (t Trace) validate() error {
	n := len(t.Events)
	if n == 0 || t.Events[n-1].Kind != KindEnd {
		return ErrTrace{Line: n, Reason: "the last event must be of kind end"}
	}
	for _, e := range t.Events {
		switch e.Kind {
		case KindHosts, KindPlatform, KindSettings:
			if e.At != 0 {
				return ErrTrace{Line: e.Line, Reason: fmt.Sprintf("%s must be at 0s", e.Kind)}
			}
		}
	}
	return t.validateHosts()
}

// validateHosts checks that there is at least one host, that there are no more
// than maxHosts, and that host names are unique.
func (t Trace) validateHosts() error {
	hosts := 0
	pools := make(map[string]bool)
	for _, e := range t.eventsOfKind(KindHosts) {
		hosts += e.Count
		if hosts > maxHosts {
			return ErrTrace{Line: e.Line, Reason: fmt.Sprintf("there are more than %d hosts", maxHosts)}
		}
		if name := e.poolName(); pools[name] {
			return ErrTrace{Line: e.Line, Reason: fmt.Sprintf("two pools are named %s", name)}
		}
		pools[e.poolName()] = true
	}
	if hosts == 0 {
		return ErrTrace{Line: t.Events[len(t.Events)-1].Line, Reason: "there are no hosts"}
	}
	return nil
}

// Duration returns the time of the last event.
func (t Trace) Duration() time.Duration { return t.Events[len(t.Events)-1].At }

// eventsOfKind returns the events of one kind.
func (t Trace) eventsOfKind(kind Kind) []Event {
	var events []Event
	for _, e := range t.Events {
		if e.Kind == kind {
			events = append(events, e)
		}
	}
	return events
}
