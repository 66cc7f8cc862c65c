package runner

import "time"

// loadReportInterval is the time between two updates of the metrics of a pool's load.
const loadReportInterval = time.Second

// reportLoad updates the metrics of what the organisations have in the pool, and of how many starts may be unanswered.
func (h *poolHolder) reportLoad(now time.Time) {
	h.mu.Lock()
	if now.Sub(h.loadReportedAt) < loadReportInterval {
		h.mu.Unlock()
		return
	}
	h.loadReportedAt = now
	loads := h.scheduler.OrganisationLoads(now)
	limit := h.scheduler.StartLimit()
	h.mu.Unlock()
	scope := h.manager.scope.Tagged(map[string]string{"pool": h.pool})
	scope.Gauge("start_limit").Update(float64(limit))
	for name, l := range loads {
		scope := scope.Tagged(map[string]string{"organisation": name})
		scope.Gauge("organisation_waiting_tasks").Update(float64(l.WaitingTasks))
		scope.Gauge("organisation_jobs_beyond_share").Update(float64(l.JobsBeyondShare))
		scope.Gauge("organisation_share_level").Update(l.Level)
	}
}
