package work

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies one task of an occurrence of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// RunID identifies one attempt of a task.
type RunID struct {
	Task    TaskID
	Attempt int
}

// String returns "job.occurrence.step.index".
func (t TaskID) String() string {
	return StepID(t.Job, t.Occurrence, t.Step) + "." + strconv.Itoa(t.Index)
}

// StepID returns "job.occurrence.step".
func StepID(job JobID, occurrence, step int) string {
	return string(job) + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// String returns the task's ID and the attempt, separated by "#".
func (r RunID) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Attempt) }

// ErrInvalidTaskID is returned for text that is not a task ID.
type ErrInvalidTaskID struct{ Text string }

// Error implements error.
func (e ErrInvalidTaskID) Error() string { return fmt.Sprintf("%q is not a task ID", e.Text) }

// ParseTaskID parses the result of TaskID.String.
func ParseTaskID(text string) (TaskID, error) {
	job, rest, found := strings.Cut(text, ".")
	if !found || job == "" {
		return TaskID{}, ErrInvalidTaskID{text}
	}
	var numbers [3]int
	for i := range numbers {
		part, more, found := strings.Cut(rest, ".")
		n, err := strconv.Atoi(part)
		if last := i == len(numbers)-1; err != nil || n < 0 || found == last {
			return TaskID{}, ErrInvalidTaskID{text}
		}
		numbers[i], rest = n, more
	}
	return TaskID{Job: JobID(job), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
