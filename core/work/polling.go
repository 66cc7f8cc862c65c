package work

import "time"

const (
	// observationAfterMiss is the time after an unanswered call during which a worker is polled more often. Ends
	// on the worker become known only with the next answer, and a call that waits for an end can't be distinguished from
	// a lost one.
	observationAfterMiss = 5 * time.Second
	// observationInterval is the polling interval during that time.
	observationInterval = 250 * time.Millisecond
)

// startupPollInterval is the polling interval of a worker with a long-running task that is not at full pace yet.
const startupPollInterval = 200 * time.Millisecond

// limitRenewalWait shortens the wait of a renewal if something on the worker has to be observed sooner.
func (s *Scheduler) limitRenewalWait(w *worker, wait time.Duration, now time.Time) time.Duration {
	if len(w.runs) > 0 && now.Sub(w.lastMissAt) < observationAfterMiss {
		wait = min(wait, observationInterval)
	}
	if _, late := s.lateStarts.target(w.Incarnation.Worker, now); late {
		wait = min(wait, observationInterval) // an incarnation that ends unnoticed may be followed by one that carries it out
	}
	if s.trialsWait || w.inTrial(now) {
		wait = min(wait, trialPollInterval)
	}
	if s.adjustsPace {
		if _, serves := w.maxLatencyRatio(); serves && w.bestEffortCount() > 0 {
			wait = min(wait, latencyPollInterval)
		}
	}
	for _, r := range w.runs {
		if r.probe {
			wait = min(wait, probePollInterval)
		}
		if r.task != nil && r.task.group.spec().LongRunning && r.speedPercent < fullPacePercent {
			return min(wait, startupPollInterval)
		}
	}
	return wait
}
