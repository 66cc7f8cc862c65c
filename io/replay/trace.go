// Package replay plays a recorded trace against entry hosts of the real code and
// the stand-in of the platform, over loopback TCP, and judges the outcome from
// what callers, targets and the platform saw.
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

// traceFile is the name of the trace in its directory.
const traceFile = "trace.txt"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Kind -transform=kebab -text -trimprefix=Kind -output=kind_enumer.go

// Kind is what a line of a trace tells. docs/replay.md describes each kind.
type Kind int

// Kinds of events.
const (
	// KindPlatform sets the platform's delays. It stands at 0s.
	KindPlatform Kind = iota
	// KindHosts adds the hosts of one pool. It stands at 0s.
	KindHosts
	// KindSettings sets the entry hosts' periods. It stands at 0s.
	KindSettings
	// KindEntry starts, stops, kills or replaces an entry host.
	KindEntry
	// KindDemand makes callers send requests for some time.
	KindDemand
	// KindJob makes callers submit jobs.
	KindJob
	// KindCancel makes callers cancel jobs that have not ended.
	KindCancel
	// KindFail makes hosts fail, and recover after a time.
	KindFail
	// KindLeave takes a host away after a notice.
	KindLeave
	// KindAnswers spoils coming answers of targets.
	KindAnswers
	// KindWorker makes a worker fail every task, or never return from reboots.
	KindWorker
	// KindStore makes the table service fail.
	KindStore
	// KindList makes the list of hosts fail.
	KindList
	// KindApply changes the configuration.
	KindApply
	// KindEnd ends the trace.
	KindEnd
)

// Event is one line of a trace. Which fields a kind uses is told by its grammar.
type Event struct {
	At   time.Duration
	Kind Kind
	// Line is the number of the line in the file, from 1.
	Line int

	// Names of what the event is about.
	Pool, Queue, Team, Host, Rack, Zone string
	// Zones are the availability zones that hosts are spread over in turn, as whole racks.
	Zones []string
	Count int
	// For bounds what the event starts; zero means until the end.
	For time.Duration

	// Of platform.
	ListLag, UsageLag, Reboot time.Duration
	// Of hosts. Budget is how many of the pool's hosts may be out of service at once.
	Cores, Slots, Connections, RackSize, Budget int
	MemoryBytes                                 int64
	// Of settings.
	Heartbeat, Poll, Lapse, Plan, Vouch, Maintenance, CoolDown, Linger time.Duration
	// Of entry. Index names the entry host, from 0.
	Index                      int
	Start, Stop, Kill, Replace bool

	// Of demand. Rate is in requests a second; the shares are in [0, 1].
	Rate, Keyed, Duplicates, Stream float64
	Work, Timeout                   time.Duration
	Bytes                           int
	Idempotent, Urgent              bool
	// Of job. Fail is the reason for which the program fails; empty means that it does not.
	Fail     string
	UsesMore float64
	// Of cancel. Share is the share of the jobs.
	Share float64

	// Of fail and leave.
	Hang   bool
	Notice time.Duration
	// Of answers: numbers of answers at each host.
	Duplicate, Cross, Cut, Garbage, Late int
	LateBy                               time.Duration
	// Of worker.
	FailTasks, NeverReturns bool
	// Of store and list.
	Down                     bool
	Slow                     time.Duration
	LoseAnswers, LoseCommits int
	Empty                    bool
	Flap                     float64

	// Of apply. Marker is a queue that only this change adds, to the pool Pool; Values are the parameters that it
	// sets, NAME:VALUE. RivalMarker and RivalValues are those of a second operator who applies another change at the
	// same time, made from the same version.
	Marker, RivalMarker string
	Values, RivalValues []string
	// Of end. Answered is the least share of requests that must be answered.
	Answered float64
}

// Trace is a parsed trace file. Its events are ordered by At.
type Trace struct {
	Events []Event
}

// ErrTrace is returned for a line that is not in the format of traces.
type ErrTrace struct {
	Line   int
	Reason string
}

// Error implements error.
func (e ErrTrace) Error() string { return fmt.Sprintf("trace line %d: %s", e.Line, e.Reason) }

// Load reads the trace of a directory.
func Load(directory string) (Trace, error) {
	file, err := os.Open(filepath.Join(directory, traceFile))
	if err != nil {
		return Trace{}, err
	}
	defer func() { _ = file.Close() }()
	return Parse(file)
}

// Parse reads a trace: one event a line, "TIME KIND [NAME=VALUE]...". Empty
// lines and lines that begin with # are skipped.
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
			return Trace{}, ErrTrace{Line: line, Reason: "the time is before that of the line above"}
		}
		t.Events = append(t.Events, event)
	}
	if err := scanner.Err(); err != nil {
		return Trace{}, err
	}
	return t, t.validate()
}

// maxHosts bounds the hosts of a trace.
const maxHosts = 10_000

// validate checks what concerns the trace as a whole.
func (t Trace) validate() error {
	n := len(t.Events)
	if n == 0 || t.Events[n-1].Kind != KindEnd {
		return ErrTrace{Line: n, Reason: "the last event must be of kind end"}
	}
	for _, e := range t.Events {
		switch e.Kind {
		case KindHosts, KindPlatform, KindSettings:
			if e.At != 0 {
				return ErrTrace{Line: e.Line, Reason: fmt.Sprintf("%s must stand at 0s", e.Kind)}
			}
		}
	}
	return t.validateHosts()
}

// validateHosts checks that there are hosts, not too many, and that their names differ.
func (t Trace) validateHosts() error {
	hosts := 0
	pools := make(map[string]bool)
	for _, e := range t.of(KindHosts) {
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

// Length is the time of the last event.
func (t Trace) Length() time.Duration { return t.Events[len(t.Events)-1].At }

// of returns the events of one kind.
func (t Trace) of(kind Kind) []Event {
	var events []Event
	for _, e := range t.Events {
		if e.Kind == kind {
			events = append(events, e)
		}
	}
	return events
}
