package job

import "time"

// taskFailure is one failed task on a worker.
type taskFailure struct {
	job   ID
	group string
	at    time.Time
	// runTime is how long the task ran before it failed.
	runTime time.Duration
	// workerAtFault is true once the job ran well elsewhere, so that the worker was at fault.
	workerAtFault bool
	// jobLikelyAtFault is true once the job has failed on several workers, so that it is likely at fault.
	jobLikelyAtFault bool
	// repeatable is false if the job never runs elsewhere, so that only its group can tell.
	repeatable bool
}

// workerHealth is what speaks for and against one worker.
type workerHealth struct {
	// lastSuccessStart is the latest start of a task that ran well.
	lastSuccessStart time.Time
	// taskFailures holds the failures since proved whose jobs are not known to fail everywhere.
	taskFailures []taskFailure
	// suspected workers get probes only.
	suspected bool
	// probes counts the tasks given while suspected or held; nextProbe is when the next may start.
	probes    int
	nextProbe time.Time
}

// recordSuccess notes that a task that started at the given time ran well.
func (r *workerHealth) recordSuccess(started time.Time) {
	if started.After(r.lastSuccessStart) {
		r.lastSuccessStart = started
	}
	kept := r.taskFailures[:0]
	for _, e := range r.taskFailures {
		if e.at.After(started) {
			kept = append(kept, e)
		}
	}
	r.taskFailures = kept
	if len(kept) == 0 {
		r.suspected, r.probes = false, 0
	}
}

// blameWorker marks the evidence of a job that ran well elsewhere, and returns how long its tasks ran here.
func (r *workerHealth) blameWorker(id ID) time.Duration {
	var longest time.Duration
	for i := range r.taskFailures {
		if r.taskFailures[i].job == id {
			r.taskFailures[i].workerAtFault, r.taskFailures[i].jobLikelyAtFault = true, false
			longest = max(longest, r.taskFailures[i].runTime)
		}
	}
	return longest
}

// blameJob stops counting the evidence of a job that has failed on several
// workers, of which one had run another job well.
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

// countedFailures counts the evidence that is not doubted.
func (r *workerHealth) countedFailures() int {
	n := 0
	for _, e := range r.taskFailures {
		if !e.jobLikelyAtFault {
			n++
		}
	}
	return n
}

// removeFailures drops the evidence of a job that fails everywhere.
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
