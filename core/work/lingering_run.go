package work

import "time"

// LingeringRun describes a run that its worker still lists a while after no task needed it any more.
type LingeringRun struct {
	Run         RunID
	Incarnation Incarnation
	// UnneededFor is the time since the first report that listed the run although no task needed it.
	UnneededFor time.Duration
	// StopRequested is true if the scheduler has the run stopped. StopConfirmed is true once the worker has
	// confirmed a stop order.
	StopRequested, StopConfirmed bool
	// Adopted is true if an earlier holder started the run.
	Adopted bool
}

// lingerInterval is the time after which a listed run that no task needs is passed to OnLingeringRun, and the
// time until it is passed again. A stop usually takes a fraction of it.
const lingerInterval = time.Second

// noteLingering calls OnLingeringRun for a listed run that no task has needed for lingerInterval.
func (s *Scheduler) noteLingering(r *run, now time.Time) {
	if r.task != nil {
		return
	}
	if r.unneededSince.IsZero() {
		r.unneededSince, r.lingerNotedAt = now, now
	}
	if s.OnLingeringRun == nil || now.Sub(r.lingerNotedAt) < lingerInterval {
		return
	}
	r.lingerNotedAt = now
	s.OnLingeringRun(LingeringRun{
		Run: r.id, Incarnation: r.worker.Incarnation, UnneededFor: now.Sub(r.unneededSince),
		StopRequested: s.runsToStop[r] != 0, StopConfirmed: r.phase == phaseStopping, Adopted: r.adopted,
	})
}
