package work

import (
	"cmp"
	"time"
)

// A probe is a start with a lease that ends before the task can be done. It shows whether a worker that may forget ends lists them:
// whether or not it does, the run has lapsed, and the task may start again.

const (
	// probeLease is the lease of a probe, by the worker's clock. It is doubled maxProbeDoublings times at most if starts arrive after its end.
	probeLease        = 60 * time.Millisecond
	maxProbeDoublings = 2
	// probePollInterval is the polling interval of a worker with a probe, whose end it may forget without an answer.
	probePollInterval = 30 * time.Millisecond
	// probeEstimateFactor is by how much the estimated duration of a task exceeds the lease of its probe. A task with a lower or no
	// estimate has a shorter lease, minProbeLease at least, which is doubled after each lateProbesPerDoubling late starts.
	probeEstimateFactor   = 4
	minProbeLease         = 15 * time.Millisecond
	lateProbesPerDoubling = 8
	// maxParallelProbes is the number of probes at once on a worker that has been shown to forget ends.
	maxParallelProbes = maxUnansweredStartsPerWorker
	// maxQuickProbes is the number of probes after which a worker gets further ones only every slowProbeInterval. It may have to forget
	// as many ends as its former incarnation has listed.
	maxQuickProbes    = 300
	slowProbeInterval = time.Second
)

// placeProbes starts tasks that found no room as probes on workers that may forget ends.
func (s *Scheduler) placeProbes(groups []*taskGroup, now time.Time) []Order {
	var orders []Order
	for _, w := range s.sortedWorkers {
		for range s.probesFor(w, now) {
			t := s.taskToProbe(groups, w, now)
			if t == nil {
				break
			}
			orders = append(orders, s.startProbe(t, w, now))
		}
	}
	return orders
}

// probesFor returns how many probes may be started on a worker now. It must hold no lease, which would outlast that of a probe.
func (s *Scheduler) probesFor(w *worker, now time.Time) int {
	if w.listsEnds() || !w.isReady(now) || len(w.runs) > 0 || !w.clock.allLeasesExpired(now) {
		return 0
	}
	if w.probes >= maxQuickProbes && now.Sub(w.probedAt) < slowProbeInterval {
		return 0
	}
	if w.forgottenEnds == 0 {
		return 1
	}
	return maxParallelProbes
}

// taskToProbe returns the first task that can be started on a worker as a probe, or nil. Preferred are those that certainly last longer
// than the probe, and then those under which no worker has crashed.
func (s *Scheduler) taskToProbe(groups []*taskGroup, w *worker, now time.Time) *task {
	if s.startsInFlight >= s.startWindow.size() {
		return nil
	}
	var shorter, suspect *task
	for _, g := range groups {
		if !w.suits(g, now) || !s.withinQuota(g, 1) {
			continue
		}
		t := g.startableProbe(now)
		switch {
		case t == nil:
		case t.crashes.needsTrial():
			suspect = cmp.Or(suspect, t)
		case g.outlastsProbe(w):
			return t
		default:
			shorter = cmp.Or(shorter, t)
		}
	}
	return cmp.Or(shorter, suspect)
}

// startableProbe returns the task of the step that is to be started next as a probe, or nil. Only one member of a gang is started at a
// time, which then waits for the others and does nothing.
func (g *taskGroup) startableProbe(now time.Time) *task {
	var first *task
	for _, t := range g.tasks {
		switch {
		case g.spec().Gang && len(t.runs) > 0:
			return nil
		case !t.isStartable(now):
		case first == nil || (first.crashes.needsTrial() && !t.crashes.needsTrial()):
			first = t
		}
	}
	return first
}

// outlastsProbe reports whether the tasks of the step last longer than the usual lease of a probe on the worker.
func (g *taskGroup) outlastsProbe(w *worker) bool {
	spec := g.spec()
	return spec.LongRunning || (spec.Gang && len(g.tasks) > 1) || spec.Estimate >= probeEstimateFactor*w.probeLease()
}

func (s *Scheduler) startProbe(t *task, w *worker, now time.Time) Order {
	w.probes++
	w.probedAt = now
	lease := w.probeLease()
	if !t.group.outlastsProbe(w) {
		lease = w.shortProbeLease(t.group.spec().Estimate)
	}
	if t.group.spec().Gang {
		for _, member := range t.group.tasks {
			t.attempt = max(t.attempt, member.attempt) // no two probes of a gang are of one attempt, which could be done
		}
	}
	o := s.startTaskFor(lease, t, w, now)
	w.runs[o.Run].probe = true
	return o
}

// probeLease returns the lease of the next probe on the worker.
func (w *worker) probeLease() time.Duration {
	return probeLease << min(w.lateProbes, maxProbeDoublings)
}

// shortProbeLease returns the lease of the next probe on the worker with a task that may last for less than probeLease.
func (w *worker) shortProbeLease(estimate time.Duration) time.Duration {
	lease := max(estimate/probeEstimateFactor, minProbeLease) << min(w.lateProbes/lateProbesPerDoubling, maxProbeDoublings)
	return min(lease, probeLease)
}

// needsLease reports whether the worker has a run that is wanted for longer than a probe.
func (w *worker) needsLease() bool {
	for _, r := range w.runs {
		if r.task != nil && !r.probe {
			return true
		}
	}
	return false
}
