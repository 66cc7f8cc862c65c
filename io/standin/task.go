package standin

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"siskincross/io/platform"
)

// task is one task on a simulated host. Its state is computed lazily, by advance.
type task struct {
	record  TaskRecord
	program program
	// cpuShare is the fraction of the program's cores that the task gets, in (0, 1]. Throttling lowers it.
	cpuShare float64
	// advancedTo is the time as of which record.Progress was computed.
	advancedTo time.Time
	// leaseExpiry is when the task's lease expires unless it is renewed.
	leaseExpiry time.Time
	// checkpointName names the object that holds the newest checkpoint; empty if there is none.
	checkpointName  string
	checkpointCount int
	// resultName names the object that holds the result; empty until the task has finished.
	resultName string
}

// program describes what a task does and which resources it uses.
type program struct {
	// workDuration is the run time at a CPU share of 1.
	workDuration time.Duration
	// cores and memoryBytes are the actual usage, which may differ from what the job declares.
	cores       float64
	memoryBytes int64
	// failureReason makes the task fail once its progress reaches failAfter; empty means that the task doesn't fail.
	failureReason string
	failAfter     time.Duration
	resultBytes   int
}

// parseProgram reads space-separated settings, such as
// "work=3s cores=2.5 memory-bytes=8000000 result-bytes=1000 fail=broken fail-after=1s".
// In the value of fail, underscores stand for spaces.
func parseProgram(text string) (program, error) {
	var p program
	for _, field := range strings.Fields(text) {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return program{}, fmt.Errorf("program setting %q has no '='", field)
		}
		if err := p.set(name, value); err != nil {
			return program{}, fmt.Errorf("program setting %q: %w", field, err)
		}
	}
	return p, nil
}

// set parses one setting into its field.
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
		err = fmt.Errorf("unknown setting %q", name)
	}
	return err
}

// advance computes the state of a running task as of now. If the task ends by then, its state is that of its end.
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

// predictedEnd returns when, in which state and for which reason the task ends if it is not renewed, throttled or stopped before.
func (t *task) predictedEnd() (time.Time, platform.TaskState, string) {
	end := t.advancedTo.Add(scaleDuration(t.program.workDuration-t.record.Progress, 1/t.cpuShare))
	state, reason := platform.TaskFinished, ""
	if t.program.failureReason != "" {
		left := max(0, t.program.failAfter-t.record.Progress)
		end = t.advancedTo.Add(scaleDuration(left, 1/t.cpuShare))
		state, reason = platform.TaskFailed, t.program.failureReason
	}
	if t.leaseExpiry.Before(end) {
		return t.leaseExpiry, platform.TaskLapsed, "the lease expired without a renewal"
	}
	return end, state, reason
}

// end records that the task ended.
func (t *task) end(at time.Time, state platform.TaskState, reason string) {
	t.record.State = state
	t.record.Ended = at
	t.record.Reason = reason
	t.advancedTo = at
}

// status returns the task's current state and its resource usage as of usageTime, which lies in the past by the usage lag.
func (t *task) status(usageTime time.Time) platform.TaskStatus {
	status := platform.TaskStatus{
		Task: t.record.Spec.Task, Job: t.record.Spec.Job, Pool: t.record.Spec.Pool, State: t.record.State,
		Checkpoint: t.checkpointName, Result: t.resultName, ResultDigest: t.record.ResultDigest,
	}
	if t.record.State == platform.TaskFailed {
		status.Failure = t.record.Reason
	}
	if !t.record.Started.After(usageTime) && (t.record.State == platform.TaskRunning || t.record.Ended.After(usageTime)) {
		status.UsedCores = t.program.cores * t.cpuShare
		status.UsedMemoryBytes = t.program.memoryBytes
	}
	return status
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// formatProgress encodes the progress of a task as the content of a checkpoint.
func formatProgress(d time.Duration) []byte { return []byte(d.String()) }

// parseProgress decodes the content of a checkpoint. It returns zero for a missing or malformed checkpoint, so that the task starts
// from the beginning.
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
