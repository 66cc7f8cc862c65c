package job

import (
	"time"

	"siskincross/core/host"
)

// maxProbeDoublings bounds the wait between probes.
const maxProbeDoublings = 6

// groupSuccesses tells where a group's jobs ran well.
type groupSuccesses struct {
	workers map[host.ID]bool
}

// faultTracker tells jobs that can never run from workers that fail every task.
//
// A failure speaks against both until one of them is cleared. If the job then
// runs well elsewhere, the failure was the worker's; if it fails on MaxFailedWorkers
// workers that are not suspected, it was the job's. Until then the worker gets
// no more than Exposure unproved tasks.
type faultTracker struct {
	policy Policy
	groups map[string]*groupSuccesses
	// failedWorkers maps a job to the workers that hold evidence from it.
	failedWorkers map[ID][]*worker
	// slowestFailure is the longest that a task ran before a bad worker failed it.
	slowestFailure time.Duration
}

// maxProofRunTime bounds proofRunTime.
const maxProofRunTime = 2 * time.Minute

// proofRunTime is how long a task runs before it proves its worker: longer than bad workers took to fail.
func (s *faultTracker) proofRunTime() time.Duration {
	return max(s.policy.ProofRunTime, min(s.slowestFailure*3/2, maxProofRunTime))
}

// recordFailure records a failed task.
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
	known := w.isProven() || failedOnProvenWorker(j)
	if len(s.failedWorkers[j.ID]) < s.policy.MaxFailedWorkers || !known {
		return
	}
	for _, other := range s.failedWorkers[j.ID] {
		other.health.blameJob(j.ID)
	}
}

// recordSuccess records that a task ran well on its worker: it finished, saved
// progress or ran for a while. It returns the workers that this speaks against.
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

// clearJob withdraws a parked job's failures from the workers that it failed on.
func (s *faultTracker) clearJob(id ID) {
	for _, w := range s.failedWorkers[id] {
		w.health.removeFailures(id)
	}
	delete(s.failedWorkers, id)
}

// updateSuspected suspects w if enough different jobs failed by its fault. It reports whether w became suspected.
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

// isWorkerFault reports whether a failure was the worker's fault. A job that must not
// run again can't be tried elsewhere; its group speaks for it.
func (s *faultTracker) isWorkerFault(w *worker, e taskFailure) bool {
	if e.workerAtFault {
		return true
	}
	g := s.groups[e.group]
	if e.repeatable || g == nil {
		return false
	}
	others := len(g.workers)
	if g.workers[w.id] {
		others--
	}
	return others > 0
}

// isProven reports whether a failure on the worker speaks against the job: it has run another job well.
func (w *worker) isProven() bool {
	return !w.health.lastSuccessStart.IsZero() && !w.health.suspected
}

// unprovenTaskCount counts what a worker has failed or may yet fail since it was proved.
func (w *worker) unprovenTaskCount() int {
	n := w.health.countedFailures()
	for _, t := range w.tasks {
		if t.createdAt.After(w.health.lastSuccessStart) {
			n++
		}
	}
	return n
}

// allows reports whether a worker may get a job, as far as its record tells.
func (s *faultTracker) allows(w *worker, e *entry, now time.Time) bool {
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
	due := !now.Before(w.health.nextProbe)
	more := w.health.probes < s.policy.MaxProbes
	if w.health.suspected {
		return due && more && len(e.job.Failures) == 0
	}
	// Each further job must have failed on more workers: it brings a verdict on
	// all of them, so that jobs that can never run don't hold every worker.
	return due || more && len(e.job.Failures) > w.health.probes
}

// isTrusted reports whether a worker may get any job.
func (s *faultTracker) isTrusted(w *worker) bool {
	return !w.health.suspected && w.unprovenTaskCount() < s.policy.MaxUnprovenTasks
}

// recordProbe counts a task that a suspected or held worker gets.
func (s *faultTracker) recordProbe(w *worker, now time.Time) {
	if s.isTrusted(w) || len(w.health.taskFailures) == 0 {
		return
	}
	w.health.probes++
	w.health.nextProbe = now.Add(s.probeDelay(w))
}

// probeDelay doubles with every probe.
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
