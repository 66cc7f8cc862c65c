package standin

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"siskincross/io/platform"
)

// task is one task on a worker. Its state is brought up to date by advance.
type task struct {
	run     TaskRun
	program program
	// share is the share of the declared cores that the task may use.
	share float64
	// settled is the time that run.Progress holds for.
	settled time.Time
	// lapses is the end of the lease.
	lapses      time.Time
	checkpoint  string
	checkpoints int
	result      string
}

// program is what a task does.
type program struct {
	// work is the run time at full share.
	work time.Duration
	// cores and memory are the real usage, which may differ from what the job declares.
	cores  float64
	memory int64
	// failure makes the task fail after failAfter of its work; empty means that it does not.
	failure     string
	failAfter   time.Duration
	resultBytes int
}

// parseProgram reads space-separated settings, such as
// "work=3s cores=2.5 memory-bytes=8000000 result-bytes=1000 fail=broken fail-after=1s".
// A failure's text has underscores in place of spaces.
func parseProgram(text string) (program, error) {
	var p program
	for _, field := range strings.Fields(text) {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return program{}, fmt.Errorf("%q is not a setting of a program", field)
		}
		if err := p.set(name, value); err != nil {
			return program{}, fmt.Errorf("setting %q of a program: %w", field, err)
		}
	}
	return p, nil
}

func (p *program) set(name, value string) (err error) {
	switch name {
	case "work":
		p.work, err = time.ParseDuration(value)
	case "cores":
		p.cores, err = strconv.ParseFloat(value, 64)
	case "memory-bytes":
		p.memory, err = strconv.ParseInt(value, 10, 64)
	case "result-bytes":
		p.resultBytes, err = strconv.Atoi(value)
	case "fail":
		p.failure = strings.ReplaceAll(value, "_", " ")
	case "fail-after":
		p.failAfter, err = time.ParseDuration(value)
	default:
		err = fmt.Errorf("there is no setting %q", name)
	}
	return err
}

// advance runs the task until now, or until it ends before.
func (t *task) advance(now time.Time) {
	end, state, reason := t.nextEnd()
	if end.After(now) {
		t.run.Progress += scale(now.Sub(t.settled), t.share)
		t.settled = now
		return
	}
	t.run.Progress += scale(end.Sub(t.settled), t.share)
	t.end(end, state, reason)
}

// nextEnd returns when and how the task ends if nothing intervenes.
func (t *task) nextEnd() (time.Time, platform.TaskState, string) {
	end := t.settled.Add(scale(t.program.work-t.run.Progress, 1/t.share))
	state, reason := platform.TaskFinished, ""
	if t.program.failure != "" {
		left := max(0, t.program.failAfter-t.run.Progress)
		end = t.settled.Add(scale(left, 1/t.share))
		state, reason = platform.TaskFailed, t.program.failure
	}
	if t.lapses.Before(end) {
		return t.lapses, platform.TaskLapsed, "the lease was not renewed"
	}
	return end, state, reason
}

func (t *task) end(at time.Time, state platform.TaskState, reason string) {
	t.run.State = state
	t.run.Ended = at
	t.run.Reason = reason
	t.settled = at
}

// status reports the task with its usage as of the time seen.
func (t *task) status(seen time.Time) platform.TaskStatus {
	status := platform.TaskStatus{
		Task: t.run.Spec.Task, Job: t.run.Spec.Job, Pool: t.run.Spec.Pool, State: t.run.State,
		Checkpoint: t.checkpoint, Result: t.result, ResultDigest: t.run.Digest,
	}
	if t.run.State == platform.TaskFailed {
		status.Failure = t.run.Reason
	}
	if !t.run.Started.After(seen) && (t.run.State == platform.TaskRunning || t.run.Ended.After(seen)) {
		status.UsedCores = t.program.cores * t.share
		status.UsedMemoryBytes = t.program.memory
	}
	return status
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func formatProgress(d time.Duration) []byte { return []byte(d.String()) }

// parseProgress returns zero for a checkpoint that is missing or broken: the work starts afresh.
func parseProgress(content []byte) time.Duration {
	d, err := time.ParseDuration(string(content))
	if err != nil {
		return 0
	}
	return d
}

func sortStatuses(statuses []platform.TaskStatus) {
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Task < statuses[j].Task })
}
