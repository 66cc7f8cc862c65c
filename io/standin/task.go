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
	record  TaskRun
	program program
	// cpuShare is the share of the declared cores that the task may use.
	cpuShare float64
	// advancedTo is the time that run.Progress holds for.
	advancedTo time.Time
	// leaseExpiry is the end of the lease.
	leaseExpiry     time.Time
	checkpointName  string
	checkpointCount int
	resultName      string
}

// program is what a task does.
type program struct {
	// workDuration is the run time at full share.
	workDuration time.Duration
	// cores and memory are the real usage, which may differ from what the job declares.
	cores       float64
	memoryBytes int64
	// failureReason makes the task fail after failAfter of its work; empty means that it does not.
	failureReason string
	failAfter     time.Duration
	resultBytes   int
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
		p.workDuration, err = time.ParseDuration(value)
	case "cores":
		p.cores, err = strconv.ParseFloat(value, 64)
	case "memory-bytes":
		p.memoryBytes, err = strconv.ParseInt(value, 10, 64)
	case "result-bytes":
		p.resultBytes, err = strconv.Atoi(value)
	case "fail":
		p.failureReason = strings.ReplaceAll(value, "_", " ")
	case "fail-after":
		p.failAfter, err = time.ParseDuration(value)
	default:
		err = fmt.Errorf("there is no setting %q", name)
	}
	return err
}

// advance runs the task until now, or until it ends before.
func (t *task) advance(now time.Time) {
	end, state, reason := t.predictedEnd()
	if end.After(now) {
		t.record.Progress += scaleDuration(now.Sub(t.advancedTo), t.cpuShare)
		t.advancedTo = now
		return
	}
	t.record.Progress += scaleDuration(end.Sub(t.advancedTo), t.cpuShare)
	t.end(end, state, reason)
}

// predictedEnd returns when and how the task ends if nothing intervenes.
func (t *task) predictedEnd() (time.Time, platform.TaskState, string) {
	end := t.advancedTo.Add(scaleDuration(t.program.workDuration-t.record.Progress, 1/t.cpuShare))
	state, reason := platform.TaskFinished, ""
	if t.program.failureReason != "" {
		left := max(0, t.program.failAfter-t.record.Progress)
		end = t.advancedTo.Add(scaleDuration(left, 1/t.cpuShare))
		state, reason = platform.TaskFailed, t.program.failureReason
	}
	if t.leaseExpiry.Before(end) {
		return t.leaseExpiry, platform.TaskLapsed, "the lease was not renewed"
	}
	return end, state, reason
}

func (t *task) end(at time.Time, state platform.TaskState, reason string) {
	t.record.State = state
	t.record.Ended = at
	t.record.Reason = reason
	t.advancedTo = at
}

// status reports the task with its usage as of the time seen.
func (t *task) status(seen time.Time) platform.TaskStatus {
	status := platform.TaskStatus{
		Task: t.record.Spec.Task, Job: t.record.Spec.Job, Pool: t.record.Spec.Pool, State: t.record.State,
		Checkpoint: t.checkpointName, Result: t.resultName, ResultDigest: t.record.Digest,
	}
	if t.record.State == platform.TaskFailed {
		status.Failure = t.record.Reason
	}
	if !t.record.Started.After(seen) && (t.record.State == platform.TaskRunning || t.record.Ended.After(seen)) {
		status.UsedCores = t.program.cores * t.cpuShare
		status.UsedMemoryBytes = t.program.memoryBytes
	}
	return status
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
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
