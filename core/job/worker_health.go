package job

import "time"

// taskFailure is a failed task on a worker.
type taskFailure struct {
	job   ID
	group string
	at    time.Time
	// runTime is how long the task ran before it failed.
	runTime time.Duration
	// workerAtFault is true once the job succeeded on another worker.
	workerAtFault bool
	// jobLikelyAtFault is true once the job has failed on several workers.
	jobLikelyAtFault bool
	// repeatable is false if the job must not run again, so that only other jobs of its usage group can show
	// which side is at fault.
	repeatable bool
}

// workerHealth holds the successes and failures of tasks on one worker.
type workerHealth struct {
	// lastSuccessStart is the latest start of a task that ran successfully.
	lastSuccessStart time.Time
	// taskFailures holds the failures since lastSuccessStart, without those of jobs that failed everywhere.
	taskFailures []taskFailure
	// suspected workers receive only probe tasks.
	suspected bool
	// probes counts the tasks that were given to the worker while it was not trusted. nextProbe is when the
	// next one may start.
	probes    int
	nextProbe time.Time
}

// recordSuccess records the success of a task that started at the given time. It removes the failures before
// that time.
func (r *workerHealth) recordSuccess(start time.Time) {
	if start.After(r.lastSuccessStart) {
		r.lastSuccessStart = start
	}
	kept := r.taskFailures[:0]
	for _, e := range r.taskFailures {
		if e.at.After(start) {
			kept = append(kept, e)
		}
	}
	r.taskFailures = kept
	if len(kept) == 0 {
		r.suspected, r.probes = false, 0
	}
}

// blameWorker attributes the failures of a job that succeeded elsewhere to the worker. It returns their
// longest run time.
func (r *workerHealth) blameWorker(id ID) time.Duration {
	var longestRun time.Duration
	for i := range r.taskFailures {
		if r.taskFailures[i].job == id {
			r.taskFailures[i].workerAtFault, r.taskFailures[i].jobLikelyAtFault = true, false
			longestRun = max(longestRun, r.taskFailures[i].runTime)
		}
	}
	return longestRun
}

// blameJob stops counting the failures of a job that has failed on several workers, one of which had run
// another job successfully.
func (r *workerHealth) blameJob(id ID) {
	for i := range r.taskFailures {
		if r.taskFailures[i].job == id {
			r.taskFailures[i].jobLikelyAtFault = true
		}
	}
	if !r.suspected {
		r.probes = 0
	}
}

// countedFailures returns the number of failures without those that are likely the job's fault.
func (r *workerHealth) countedFailures() int {
	n := 0
	for _, e := range r.taskFailures {
		if !e.jobLikelyAtFault {
			n++
		}
	}
	return n
}

// removeFailures removes the failures of a job that fails everywhere.
func (r *workerHealth) removeFailures(id ID) {
	kept := r.taskFailures[:0]
	for _, e := range r.taskFailures {
		if e.job != id {
			kept = append(kept, e)
		}
	}
	r.taskFailures = kept
	if len(kept) == 0 {
		r.suspected, r.probes = false, 0
	}
}
