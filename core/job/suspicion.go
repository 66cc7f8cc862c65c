package job

import (
	"time"

	"siskincross/core/host"
)

// maxProbeDoublings bounds the doublings of the delay between probes.
const maxProbeDoublings = 6

// groupSuccesses holds the workers on which jobs of a usage group ran successfully.
type groupSuccesses struct {
	workers map[host.ID]bool
}

// faultTracker attributes task failures to jobs that can never run or to workers that fail every task.
//
// A failure counts against both the job and the worker until one of them is cleared. If the job then succeeds
// on another worker, the failure is attributed to the worker. If the job fails on MaxFailedWorkers workers
// that are not suspected, it is attributed to the job. Until then the worker holds at most MaxUnprovenTasks
// unproven tasks.
type faultTracker struct {
	policy Policy
	groups map[string]*groupSuccesses
	// failedWorkers maps a job to the workers with recorded failures of it.
	failedWorkers map[ID][]*worker
	// slowestFailure is the longest run time of a task before a faulty worker failed it.
	slowestFailure time.Duration
}

// maxProofRunTime bounds the result of proofRunTime.
const maxProofRunTime = 2 * time.Minute

// proofRunTime returns how long a task must run before it proves its worker. That is longer than faulty
// workers took to fail a task.
func (s *faultTracker) proofRunTime() time.Duration {
	return max(s.policy.ProofRunTime, min(s.slowestFailure*3/2, maxProofRunTime))
}

// recordFailure records a failed task. Once the job has failed on MaxFailedWorkers workers, one of them
// proven, its failures no longer count against the workers.
func (s *faultTracker) recordFailure(t *task, now time.Time) {
	if s.failedWorkers == nil {
		s.failedWorkers = make(map[ID][]*worker)
	}
	w, j := t.worker, t.entry.job
	w.health.taskFailures = append(w.health.taskFailures, taskFailure{
		job: j.ID, group: j.Spec.UsageGroup(), at: now, runTime: now.Sub(t.createdAt), repeatable: j.Spec.Idempotent,
	})
	s.failedWorkers[j.ID] = append(s.failedWorkers[j.ID], w)
	if w.health.nextProbe.Before(now) {
		w.health.nextProbe = now.Add(s.probeDelay(w))
	}
	s.updateSuspected(w)
	workerProven := w.isProven() || failedOnProvenWorker(j)
	if len(s.failedWorkers[j.ID]) < s.policy.MaxFailedWorkers || !workerProven {
		return
	}
	for _, other := range s.failedWorkers[j.ID] {
		other.health.blameJob(j.ID)
	}
}

// recordSuccess records that a task ran successfully on its worker: it finished, saved a checkpoint or ran
// for long enough. It returns the workers that became suspected because the task's job had failed on them.
func (s *faultTracker) recordSuccess(t *task) []*worker {
	t.worker.health.recordSuccess(t.createdAt)
	group := t.entry.job.Spec.UsageGroup()
	if s.groups == nil {
		s.groups = make(map[string]*groupSuccesses)
	}
	g := s.groups[group]
	if g == nil {
		if len(s.groups) >= maxGroups {
			clear(s.groups)
		}
		g = &groupSuccesses{workers: make(map[host.ID]bool)}
		s.groups[group] = g
	}
	g.workers[t.worker.id] = true
	return s.blameOtherWorkers(t)
}

func (s *faultTracker) blameOtherWorkers(t *task) []*worker {
	var suspects []*worker
	for _, w := range s.failedWorkers[t.entry.job.ID] {
		if w == t.worker {
			continue
		}
		s.slowestFailure = max(s.slowestFailure, w.health.blameWorker(t.entry.job.ID))
		if s.updateSuspected(w) {
			suspects = append(suspects, w)
		}
	}
	delete(s.failedWorkers, t.entry.job.ID)
	return suspects
}

// clearJob removes the failures of a parked job from the workers on which it failed.
func (s *faultTracker) clearJob(id ID) {
	for _, w := range s.failedWorkers[id] {
		w.health.removeFailures(id)
	}
	delete(s.failedWorkers, id)
}

// updateSuspected marks w as suspected if enough different jobs failed by its fault. It reports whether w
// became suspected.
func (s *faultTracker) updateSuspected(w *worker) bool {
	if w.health.suspected {
		return false
	}
	jobs := make(map[ID]bool)
	for _, e := range w.health.taskFailures {
		if s.isWorkerFault(w, e) {
			jobs[e.job] = true
		}
	}
	w.health.suspected = len(jobs) >= s.policy.MaxUnprovenTasks
	return w.health.suspected
}

// isWorkerFault reports whether a failure is attributed to the worker. A job that must not run again can't be
// tried on another worker, so that successes of its usage group on other workers decide.
func (s *faultTracker) isWorkerFault(w *worker, e taskFailure) bool {
	if e.workerAtFault {
		return true
	}
	g := s.groups[e.group]
	if e.repeatable || g == nil {
		return false
	}
	otherWorkers := len(g.workers)
	if g.workers[w.id] {
		otherWorkers--
	}
	return otherWorkers > 0
}

// isProven reports whether a failure on the worker counts against the job: the worker has run a task
// successfully and is not suspected.
func (w *worker) isProven() bool {
	return !w.health.lastSuccessStart.IsZero() && !w.health.suspected
}

// unprovenTaskCount returns the number of tasks that the worker failed or that started since its last
// success.
func (w *worker) unprovenTaskCount() int {
	n := w.health.countedFailures()
	for _, t := range w.tasks {
		if t.createdAt.After(w.health.lastSuccessStart) {
			n++
		}
	}
	return n
}

// mayReceive reports whether the failures of a worker allow it to receive a job.
func (s *faultTracker) mayReceive(w *worker, e *entry, now time.Time) bool {
	if failedOn(e.job, w.id) {
		return false
	}
	if s.isTrusted(w) || e.job.Spec.Urgent && len(w.health.taskFailures) == 0 {
		return true
	}
	if len(w.health.taskFailures) == 0 || !e.job.Spec.Idempotent || e.job.Spec.Urgent {
		return false
	}
	if w.unprovenTaskCount() > w.health.countedFailures() {
		return false
	}
	probeDue := !now.Before(w.health.nextProbe)
	probesLeft := w.health.probes < s.policy.MaxProbes
	if w.health.suspected {
		return probeDue && probesLeft && len(e.job.Failures) == 0
	}
	// A further probe must be a job that has failed on more workers than the worker has had probes. Its
	// outcome then settles the failures on all these workers, so that jobs that can never run don't block
	// every worker.
	return probeDue || probesLeft && len(e.job.Failures) > w.health.probes
}

// isTrusted reports whether a worker may receive any job.
func (s *faultTracker) isTrusted(w *worker) bool {
	return !w.health.suspected && w.unprovenTaskCount() < s.policy.MaxUnprovenTasks
}

// recordProbe counts a task that an untrusted worker receives as a probe.
func (s *faultTracker) recordProbe(w *worker, now time.Time) {
	if s.isTrusted(w) || len(w.health.taskFailures) == 0 {
		return
	}
	w.health.probes++
	w.health.nextProbe = now.Add(s.probeDelay(w))
}

// probeDelay returns the delay before the next probe, which doubles with every probe.
func (s *faultTracker) probeDelay(w *worker) time.Duration {
	return s.policy.FirstProbeDelay << min(w.health.probes, maxProbeDoublings)
}

func failedOn(j Job, h host.ID) bool {
	for _, f := range j.Failures {
		if f.Host == h {
			return true
		}
	}
	return false
}

func failedOnProvenWorker(j Job) bool {
	for _, f := range j.Failures {
		if f.WorkerProven {
			return true
		}
	}
	return false
}
