package runner

import (
	"fmt"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
)

// requestApprovals asks the policy service which workers may run a step, and passes the answer to the scheduler.
func (h *poolHolder) requestApprovals(request work.ApprovalRequest) {
	workers := make([]string, len(request.Workers))
	for i, incarnation := range request.Workers {
		workers[i] = incarnation.Worker
	}
	step := work.StepID(request.Job, request.Occurrence, request.Step)
	start := time.Now()
	tickets, err := h.manager.Executors.RequestTickets(h.ctx, step, workers)
	if h.ctx.Err() != nil {
		return
	}
	number, detail := event.WorkAdvised, fmt.Sprintf("%s: approved for %d of %d workers, answered after %s",
		step, len(tickets), len(workers), time.Since(start).Round(time.Millisecond))
	if err != nil {
		number, detail = event.WorkAdviceFailed, step+": "+err.Error()
	}
	h.manager.record(event.Event{Number: number, Pool: h.pool, Job: string(request.Job), Detail: detail})
	h.mu.Lock()
	h.scheduler.HandleApprovals(request, work.ApprovalResponse{Tickets: tickets, Failed: err != nil}, time.Now())
	h.mu.Unlock()
	h.wake()
}
