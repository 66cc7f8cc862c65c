package work

import "time"

// A probe is a start with a lease that ends before the task can be done. It shows whether a worker that may forget ends lists them:
// whether or not it does, the run has lapsed, and the task may start again.

const (
	// probeLease is the lease of a probe, by the worker's clock. It is doubled maxProbeDoublings times at most if starts arrive after its end.
	probeLease        = 60 * time.Millisecond
	maxProbeDoublings = 2
	// probePollInterval is the polling interval of a worker with a probe, whose end it may forget without an answer.
	probePollInterval = 30 * time.Millisecond
	// probeEstimateFactor is by how much the estimated duration of a task must exceed the lease of its probe.
	probeEstimateFactor = 4
	// maxParallelProbes is the number of probes at once on a worker that has been shown to forget ends.
	maxParallelProbes = maxUnansweredStartsPerWorker
	// maxProbes is the number of probes after which a worker gets no further ones: it stays without tasks.
	maxProbes = 300
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
	if w.listsEnds() || !w.isReady(now) || len(w.runs) > 0 || w.probes >= maxProbes || !w.clock.allLeasesExpired(now) {
		return 0
	}
	if w.forgottenEnds == 0 {
		return 1
	}
	return maxParallelProbes
}

// taskToProbe returns the first task that can be started on a worker as a probe, or nil. Gangs can't, since their tasks start together.
func (s *Scheduler) taskToProbe(groups []*taskGroup, w *worker, now time.Time) *task {
	if s.startsInFlight >= s.startWindow.size() {
		return nil
	}
	for _, g := range groups {
		spec := g.spec()
		if spec.Gang || (!spec.LongRunning && spec.Estimate < probeEstimateFactor*w.probeLease()) || !w.suits(g, now) || !s.withinQuota(g, 1) {
			continue
		}
		for _, t := range g.tasks {
			if t.isStartable(now) && !t.crashes.needsTrial() {
				return t
			}
		}
	}
	return nil
}

func (s *Scheduler) startProbe(t *task, w *worker, now time.Time) Order {
	w.probes++
	o := s.startTaskFor(w.probeLease(), t, w, now)
	w.runs[o.Run].probe = true
	return o
}

// probeLease returns the lease of the next probe on the worker.
func (w *worker) probeLease() time.Duration {
	return probeLease << min(w.lateProbes, maxProbeDoublings)
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
