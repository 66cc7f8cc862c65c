package runner

import (
	"fmt"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
)

// requestApprovals asks the policy service which workers may run a step, and tells the board.
func (h *poolHolder) requestApprovals(q work.ApprovalRequest) {
	ids := make([]string, len(q.Workers))
	for i, life := range q.Workers {
		ids[i] = life.Worker
	}
	step := work.StepID(q.Job, q.Occurrence, q.Step)
	began := time.Now()
	tickets, err := h.manager.Executors.RequestTickets(h.ctx, step, ids)
	if h.ctx.Err() != nil {
		return
	}
	number, detail := event.WorkAdvised, fmt.Sprintf("%s: %d of %d workers may run it, answered after %s",
		step, len(tickets), len(ids), time.Since(began).Round(time.Millisecond))
	if err != nil {
		number, detail = event.WorkAdviceFailed, step+": "+err.Error()
	}
	h.manager.record(event.Event{Number: number, Pool: h.pool, Job: string(q.Job), Detail: detail})
	h.mu.Lock()
	h.scheduler.HandleApprovals(q, work.ApprovalResponse{Tickets: tickets, Failed: err != nil}, time.Now())
	h.mu.Unlock()
	h.wake()
}
