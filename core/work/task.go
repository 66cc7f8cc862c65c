package work

import (
	"fmt"
	"strconv"
	"strings"
)

// Task names one task of an occurrence of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// Run names one attempt of a task.
type Run struct {
	Task    Task
	Attempt int
}

// String returns "job.occurrence.step.index".
func (t Task) String() string {
	return StepName(t.Job, t.Occurrence, t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns "job.occurrence.step".
func StepName(job ID, occurrence, step int) string {
	return string(job) + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// String returns the task's name and the attempt.
func (r Run) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Attempt) }

// ErrTaskName is returned for text that names no task.
type ErrTaskName struct{ Text string }

// Error implements error.
func (e ErrTaskName) Error() string { return fmt.Sprintf("%q names no task", e.Text) }

// ParseTask parses what Task.String returns.
func ParseTask(text string) (Task, error) {
	job, rest, found := strings.Cut(text, ".")
	if !found || job == "" {
		return Task{}, ErrTaskName{text}
	}
	var numbers [3]int
	for i := range numbers {
		part, more, found := strings.Cut(rest, ".")
		n, err := strconv.Atoi(part)
		if last := i == len(numbers)-1; err != nil || n < 0 || found == last {
			return Task{}, ErrTaskName{text}
		}
		numbers[i], rest = n, more
	}
	return Task{Job: ID(job), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
