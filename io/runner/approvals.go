package runner

import (
	"fmt"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
)

// inquire asks the policy service which workers may run a step, and tells the board.
func (h *holder) inquire(q work.Inquiry) {
	ids := make([]string, len(q.Workers))
	for i, life := range q.Workers {
		ids[i] = life.Worker
	}
	step := work.StepName(q.Job, q.Occurrence, q.Step)
	began := time.Now()
	tickets, err := h.m.Executors.Advise(h.ctx, step, ids)
	if h.ctx.Err() != nil {
		return
	}
	number, detail := event.WorkAdvised, fmt.Sprintf("%s: %d of %d workers may run it, answered after %s",
		step, len(tickets), len(ids), time.Since(began).Round(time.Millisecond))
	if err != nil {
		number, detail = event.WorkAdviceFailed, step+": "+err.Error()
	}
	h.m.record(event.Event{Number: number, Pool: h.pool, Job: string(q.Job), Detail: detail})
	h.mu.Lock()
	h.board.Advised(q, work.Advised{Tickets: tickets, Failed: err != nil}, time.Now())
	h.mu.Unlock()
	h.wake()
}
