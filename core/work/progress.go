package work

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=State,EndReason,Outcome,OrderKind,PresumedEndCause,urgency -transform=kebab -text -json -trimprefix=State,EndReason,Outcome,Order,Cause,urgency -output=work_enumer.go

// State is the state of a job as its caller sees it.
type State int

// States of a job. StateCompleted, StateFailed and StateCancelled are final.
const (
	StateQueued State = iota
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

// IsFinal reports whether the state is final.
func (s State) IsFinal() bool { return s >= StateCompleted }

// Progress is the part of a job's state that must survive its duty holder. It is immutable.
type Progress struct {
	State State
	// finished holds the occurrences of a repeated job of which all tasks are done: sorted ranges with gaps between them.
	finished []occurrenceRange
	// done holds the completed tasks of the other occurrences by occurrence and step.
	done map[stepKey]bitmap
	// failures holds the failed attempts by task.
	failures map[TaskID][]int
	// crashes holds the ends of workers under tasks that may have caused them.
	crashes map[TaskID][]Crash
}

type stepKey struct{ occurrence, step int }

// bitmap has one bit per task. It is not modified once it is part of a Progress.
type bitmap []byte

func (b bitmap) has(i int) bool {
	return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

func (b bitmap) with(i int) bitmap {
	next := make(bitmap, max(len(b), i/8+1))
	copy(next, b)
	next[i/8] |= 1 << (i % 8)
	return next
}

// IsDone reports whether the task is done.
func (p Progress) IsDone(t TaskID) bool {
	return p.HasFinishedOccurrence(t.Occurrence) || p.done[stepKey{t.Occurrence, t.Step}].has(t.Index)
}

// FailureCount returns the number of failed attempts of the task.
func (p Progress) FailureCount(t TaskID) int { return len(p.failures[t]) }

// WithState returns the progress in another state.
func (p Progress) WithState(s State) Progress {
	p.State = s
	return p
}

// WithDoneTask returns the progress with the task marked as done.
func (p Progress) WithDoneTask(t TaskID) Progress {
	p.done = maps.Clone(p.done)
	if p.done == nil {
		p.done = make(map[stepKey]bitmap)
	}
	key := stepKey{t.Occurrence, t.Step}
	p.done[key] = p.done[key].with(t.Index)
	if _, ok := p.failures[t]; ok {
		p.failures = maps.Clone(p.failures)
		delete(p.failures, t)
	}
	return p
}

// WithFailedAttempt returns the progress with a failed attempt added. The same attempt counts once.
func (p Progress) WithFailedAttempt(r RunID) Progress {
	if slices.Contains(p.failures[r.Task], r.Attempt) {
		return p
	}
	p.failures = maps.Clone(p.failures)
	if p.failures == nil {
		p.failures = make(map[TaskID][]int)
	}
	p.failures[r.Task] = append(slices.Clone(p.failures[r.Task]), r.Attempt)
	return p
}

// CrashCount returns the number of workers that ended under the task since a run of it last lasted.
func (p Progress) CrashCount(t TaskID) int { return len(p.crashes[t]) }

// CrashedTaskCount returns the number of tasks under which crashes are recorded.
func (p Progress) CrashedTaskCount() int { return len(p.crashes) }

// maxStoredCrashes is the number of crashes that are kept of a task, the latest ones.
const maxStoredCrashes = 8

// WithCrash returns the progress with a crash added. The same attempt counts once: its confirmed crash replaces one that
// was not.
func (p Progress) WithCrash(c Crash) Progress {
	known := slices.Clone(p.crashes[c.Run.Task])
	if i := slices.IndexFunc(known, func(known Crash) bool { return known.Run == c.Run }); i >= 0 {
		if known[i].Confirmed || !c.Confirmed {
			return p
		}
		known = slices.Delete(known, i, i+1)
	}
	p.crashes = maps.Clone(p.crashes)
	if p.crashes == nil {
		p.crashes = make(map[TaskID][]Crash)
	}
	p.crashes[c.Run.Task] = append(known[max(0, len(known)+1-maxStoredCrashes):], c)
	return p
}

// WithExplainedCrash returns the progress with the crash of an attempt marked as coincident, or without it if it was.
func (p Progress) WithExplainedCrash(r RunID) Progress {
	var list []Crash
	for _, c := range p.crashes[r.Task] {
		if c.Run == r && c.Coincident {
			continue
		}
		c.Coincident = c.Coincident || c.Run == r
		list = append(list, c)
	}
	p = p.WithoutCrashes(r.Task)
	if len(list) > 0 {
		p.crashes[r.Task] = list
	}
	return p
}

// WithoutCrashes returns the progress without the crashes of a task.
func (p Progress) WithoutCrashes(t TaskID) Progress {
	p.crashes = maps.Clone(p.crashes)
	if p.crashes == nil {
		p.crashes = make(map[TaskID][]Crash)
	}
	delete(p.crashes, t)
	return p
}

// progressRow is the stored form of Progress. Done maps "occurrence.step" to a bitmap in base64, and "first-last" to an empty text for
// occurrences that are done; versions without those can't read the row. Failures maps "occurrence.step.index" to the failed attempts.
type progressRow struct {
	State    State             `json:"state"`
	Done     map[string]string `json:"done,omitempty"`
	Failures map[string][]int  `json:"failures,omitempty"`
	// Crashes maps "occurrence.step.index" to the crashes under the task. It is absent in rows of earlier versions.
	Crashes map[string][]crashRow `json:"crashes,omitempty"`
}

// crashRow is the stored form of Crash.
type crashRow struct {
	Attempt   int   `json:"attempt"`
	MinMillis int64 `json:"min-millis"`
	MaxMillis int64 `json:"max-millis"`
	// Coincident and Confirmed are absent if they are false.
	Coincident bool `json:"coincident,omitempty"`
	Confirmed  bool `json:"confirmed,omitempty"`
}

// MaxProgressBytes bounds the stored form of a job's progress. It is the limit of the table service for a row.
const MaxProgressBytes = 48 << 10

// Encode returns the value of the stored row. A final state is stored without details. The record of crashes is left out if the row
// would exceed MaxProgressBytes with it.
func (p Progress) Encode() ([]byte, error) {
	value, err := p.encode()
	if len(value) > MaxProgressBytes && len(p.crashes) > 0 {
		p.crashes = nil
		return p.encode()
	}
	return value, err
}

func (p Progress) encode() ([]byte, error) {
	row := progressRow{State: p.State}
	if !p.State.IsFinal() {
		row.Done = make(map[string]string, len(p.done)+len(p.finished))
		for _, r := range p.finished {
			row.Done[r.String()] = ""
		}
		for key, bits := range p.done {
			row.Done[fmt.Sprintf("%d.%d", key.occurrence, key.step)] = base64.RawStdEncoding.EncodeToString(bits)
		}
		row.Failures = make(map[string][]int, len(p.failures))
		for t, attempts := range p.failures {
			row.Failures[fmt.Sprintf("%d.%d.%d", t.Occurrence, t.Step, t.Index)] = attempts
		}
		row.Crashes = encodeCrashes(p.crashes)
	}
	return json.Marshal(row)
}

// DecodeProgress parses the result of Progress.Encode for the job.
func DecodeProgress(id JobID, value []byte) (Progress, error) {
	var row progressRow
	if err := json.Unmarshal(value, &row); err != nil {
		return Progress{}, fmt.Errorf("decode progress of job %s: %w", id, err)
	}
	p := Progress{State: row.State, done: make(map[stepKey]bitmap), failures: make(map[TaskID][]int)}
	for name, text := range row.Done {
		if r, ok := parseOccurrenceRange(name); ok {
			p.finished = append(p.finished, r)
			continue
		}
		var key stepKey
		if _, err := fmt.Sscanf(name, "%d.%d", &key.occurrence, &key.step); err != nil {
			return Progress{}, fmt.Errorf("decode progress of job %s: step %q: %w", id, name, err)
		}
		bits, err := base64.RawStdEncoding.DecodeString(text)
		if err != nil {
			return Progress{}, fmt.Errorf("decode progress of job %s: step %q: %w", id, name, err)
		}
		p.done[key] = bits
	}
	slices.SortFunc(p.finished, func(a, b occurrenceRange) int { return a.first - b.first })
	for name, attempts := range row.Failures {
		t := TaskID{Job: id}
		if _, err := fmt.Sscanf(name, "%d.%d.%d", &t.Occurrence, &t.Step, &t.Index); err != nil {
			return Progress{}, fmt.Errorf("decode progress of job %s: task %q: %w", id, name, err)
		}
		p.failures[t] = attempts
	}
	var err error
	p.crashes, err = decodeCrashes(id, row.Crashes)
	return p, err
}

func encodeCrashes(crashes map[TaskID][]Crash) map[string][]crashRow {
	rows := make(map[string][]crashRow, len(crashes))
	for t, list := range crashes {
		key := fmt.Sprintf("%d.%d.%d", t.Occurrence, t.Step, t.Index)
		for _, c := range list {
			rows[key] = append(rows[key], crashRow{Attempt: c.Run.Attempt, MinMillis: c.MinAge.Milliseconds(), MaxMillis: c.MaxAge.Milliseconds(), Coincident: c.Coincident, Confirmed: c.Confirmed})
		}
	}
	return rows
}

func decodeCrashes(id JobID, rows map[string][]crashRow) (map[TaskID][]Crash, error) {
	crashes := make(map[TaskID][]Crash, len(rows))
	for name, list := range rows {
		t := TaskID{Job: id}
		if _, err := fmt.Sscanf(name, "%d.%d.%d", &t.Occurrence, &t.Step, &t.Index); err != nil {
			return nil, fmt.Errorf("decode progress of job %s: crashed task %q: %w", id, name, err)
		}
		for _, c := range list {
			crashes[t] = append(crashes[t], Crash{
				Run: RunID{Task: t, Attempt: c.Attempt}, MinAge: time.Duration(c.MinMillis) * time.Millisecond, MaxAge: time.Duration(c.MaxMillis) * time.Millisecond,
				Coincident: c.Coincident, Confirmed: c.Confirmed,
			})
		}
	}
	return crashes, nil
}
