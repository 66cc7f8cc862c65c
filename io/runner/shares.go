package runner

import (
	"errors"
	"time"

	"siskincross/core/work"
	"siskincross/io/peer/peerpb"
)

// refuseBeyondShare refuses the submissions that lie beyond their organisations' shares while the pool can't serve in
// time what waits already. Only the holder of the pool's duty can tell. It returns the others.
func (m *Manager) refuseBeyondShare(pool string, group []*submission) []*submission {
	organisations := m.Catalogue().Organisations
	if organisations.IsEmpty() || len(group) == 0 {
		return group
	}
	h := m.readyHolder(pool)
	if h == nil {
		return group
	}
	jobs := make([]work.Job, len(group))
	for i, s := range group {
		jobs[i] = s.job
	}
	h.mu.Lock()
	h.scheduler.SetOrganisations(organisations)
	refusals := h.scheduler.Refuse(jobs, time.Now())
	knowsEndedJobs := time.Since(h.loadedAt) > resubmissionPeriod
	h.mu.Unlock()
	kept := group[:0]
	for i, s := range group {
		refusal, refused := refusals[i]
		if !refused || s.maybeStored || (!knowsEndedJobs && m.mayBeStored(pool, s.job.ID)) {
			kept = append(kept, s)
			continue
		}
		m.scope.Tagged(map[string]string{"pool": pool, "organisation": s.job.Organisation}).Counter("jobs_beyond_share_refused").Inc(1)
		s.finish(ErrNotAccepted{Reason: refusal.Reason, RetryAfter: roundUpToSeconds(refusal.RetryAfter), BeyondShare: true})
	}
	return kept
}

// resubmissionPeriod is the time for which callers may repeat a submission that was accepted. A holder knows the jobs
// that ended within that time once it has held the duty for as long.
const resubmissionPeriod = 10 * time.Second

// mayBeStored reports whether a job is stored, or that can't be told.
func (m *Manager) mayBeStored(pool string, id work.JobID) bool {
	_, stored, err := m.Rows.ReadRow(m.ctx, jobKey(pool, id), "accept")
	return stored || err != nil
}

// roundUpToSeconds rounds up to whole seconds, at least one: the unit of Retry-After.
func roundUpToSeconds(d time.Duration) time.Duration {
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}

// addRefusal adds to the outcome of a HandIn call why the sender must refuse a job, if the error of its submission
// says so.
func addRefusal(outcome *peerpb.HandInOutcome, index int, err error) {
	var refused ErrNotAccepted
	if !errors.As(err, &refused) || (!refused.BeyondShare && !refused.Overload) {
		return
	}
	if outcome.Refusals == nil {
		outcome.Refusals = make(map[uint32]*peerpb.Refusal)
	}
	outcome.Refusals[uint32(index)] = &peerpb.Refusal{
		Reason: refused.Reason, RetryAfterMillis: uint32(refused.RetryAfter.Milliseconds()), Overload: refused.Overload,
	}
}

// forwardedRefusal returns the refusal of a forwarded job, and false if the sender may store the job itself.
func forwardedRefusal(outcome *peerpb.HandInOutcome, index int) (ErrNotAccepted, bool) {
	refusal := outcome.GetRefusals()[uint32(index)]
	if refusal == nil {
		return ErrNotAccepted{}, false
	}
	return ErrNotAccepted{
		Reason: refusal.GetReason(), RetryAfter: time.Duration(refusal.GetRetryAfterMillis()) * time.Millisecond,
		BeyondShare: !refusal.GetOverload(), Overload: refusal.GetOverload(),
	}, true
}
