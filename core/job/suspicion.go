package job

import (
	"time"

	"siskincross/core/host"
)

// maxProbeDoublings bounds the wait between probes.
const maxProbeDoublings = 6

// groupRecord tells where a group's jobs ran well.
type groupRecord struct {
	proved map[host.ID]bool
}

// suspicion tells jobs that can never run from workers that fail every task.
//
// A failure speaks against both until one of them is cleared. If the job then
// runs well elsewhere, the failure was the worker's; if it fails on MaxTries
// workers that are not suspected, it was the job's. Until then the worker gets
// no more than Exposure unproved tasks.
type suspicion struct {
	policy Policy
	groups map[string]*groupRecord
	// failed maps a job to the workers that hold evidence from it.
	failed map[ID][]*worker
	// slowest is the longest that a task ran before a bad worker failed it.
	slowest time.Duration
}

// maxProofAge bounds proofAge.
const maxProofAge = 2 * time.Minute

// proofAge is how long a task runs before it proves its worker: longer than bad workers took to fail.
func (s *suspicion) proofAge() time.Duration {
	return max(s.policy.ProofAge, min(s.slowest*3/2, maxProofAge))
}

// note records a failed task.
func (s *suspicion) note(t *task, now time.Time) {
	if s.failed == nil {
		s.failed = make(map[ID][]*worker)
	}
	w, j := t.worker, t.job.job
	w.record.evidence = append(w.record.evidence, evidence{
		job: j.ID, group: j.Spec.Group(), at: now, age: now.Sub(t.since), repeatable: j.Spec.Idempotent,
	})
	s.failed[j.ID] = append(s.failed[j.ID], w)
	if w.record.nextProbe.Before(now) {
		w.record.nextProbe = now.Add(s.probeWait(w))
	}
	s.judge(w)
	known := w.proves() || failedOnProved(j)
	if len(s.failed[j.ID]) < s.policy.MaxTries || !known {
		return
	}
	for _, other := range s.failed[j.ID] {
		other.record.doubt(j.ID)
	}
}

// proof records that a task ran well on its worker: it finished, saved
// progress or ran for a while. It returns the workers that this speaks against.
func (s *suspicion) proof(t *task) []*worker {
	t.worker.record.prove(t.since)
	group := t.job.job.Spec.Group()
	if s.groups == nil {
		s.groups = make(map[string]*groupRecord)
	}
	g := s.groups[group]
	if g == nil {
		if len(s.groups) >= maxGroups {
			clear(s.groups)
		}
		g = &groupRecord{proved: make(map[host.ID]bool)}
		s.groups[group] = g
	}
	g.proved[t.worker.id] = true
	return s.convict(t)
}

func (s *suspicion) convict(t *task) []*worker {
	var suspects []*worker
	for _, w := range s.failed[t.job.job.ID] {
		if w == t.worker {
			continue
		}
		s.slowest = max(s.slowest, w.record.convict(t.job.job.ID))
		if s.judge(w) {
			suspects = append(suspects, w)
		}
	}
	delete(s.failed, t.job.job.ID)
	return suspects
}

// clear withdraws a parked job's failures from the workers that it failed on.
func (s *suspicion) clear(id ID) {
	for _, w := range s.failed[id] {
		w.record.withdraw(id)
	}
	delete(s.failed, id)
}

// judge suspects w if enough different jobs failed by its fault. It reports whether w became suspected.
func (s *suspicion) judge(w *worker) bool {
	if w.record.suspected {
		return false
	}
	jobs := make(map[ID]bool)
	for _, e := range w.record.evidence {
		if s.worker(w, e) {
			jobs[e.job] = true
		}
	}
	w.record.suspected = len(jobs) >= s.policy.Exposure
	return w.record.suspected
}

// worker reports whether a failure was the worker's fault. A job that must not
// run again can't be tried elsewhere; its group speaks for it.
func (s *suspicion) worker(w *worker, e evidence) bool {
	if e.convicted {
		return true
	}
	g := s.groups[e.group]
	if e.repeatable || g == nil {
		return false
	}
	others := len(g.proved)
	if g.proved[w.id] {
		others--
	}
	return others > 0
}

// proves reports whether a failure on the worker speaks against the job: it has run another job well.
func (w *worker) proves() bool {
	return !w.record.proved.IsZero() && !w.record.suspected
}

// exposed counts what a worker has failed or may yet fail since it was proved.
func (w *worker) exposed() int {
	n := w.record.failures()
	for _, t := range w.tasks {
		if t.since.After(w.record.proved) {
			n++
		}
	}
	return n
}

// allows reports whether a worker may get a job, as far as its record tells.
func (s *suspicion) allows(w *worker, e *entry, now time.Time) bool {
	if failedOn(e.job, w.id) {
		return false
	}
	if s.trusts(w) || e.job.Spec.Urgent && len(w.record.evidence) == 0 {
		return true
	}
	if len(w.record.evidence) == 0 || !e.job.Spec.Idempotent || e.job.Spec.Urgent {
		return false
	}
	if w.exposed() > w.record.failures() {
		return false
	}
	due := !now.Before(w.record.nextProbe)
	more := w.record.probes < s.policy.MaxProbes
	if w.record.suspected {
		return due && more && len(e.job.Failures) == 0
	}
	// Each further job must have failed on more workers: it brings a verdict on
	// all of them, so that jobs that can never run don't hold every worker.
	return due || more && len(e.job.Failures) > w.record.probes
}

// trusts reports whether a worker may get any job.
func (s *suspicion) trusts(w *worker) bool {
	return !w.record.suspected && w.exposed() < s.policy.Exposure
}

// probe counts a task that a suspected or held worker gets.
func (s *suspicion) probe(w *worker, now time.Time) {
	if s.trusts(w) || len(w.record.evidence) == 0 {
		return
	}
	w.record.probes++
	w.record.nextProbe = now.Add(s.probeWait(w))
}

// probeWait doubles with every probe.
func (s *suspicion) probeWait(w *worker) time.Duration {
	return s.policy.ProbeAfter << min(w.record.probes, maxProbeDoublings)
}

func failedOn(j Job, h host.ID) bool {
	for _, f := range j.Failures {
		if f.Host == h {
			return true
		}
	}
	return false
}

func failedOnProved(j Job) bool {
	for _, f := range j.Failures {
		if f.Proved {
			return true
		}
	}
	return false
}
