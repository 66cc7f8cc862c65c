package runner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// renewWait is how long a worker may hold its answer back until a task ends. Leases are
	// renewed at least as often.
	renewWait = 1000 * time.Millisecond
	// renewGap is the least time between two renewals, so that ends come in groups.
	renewGap = 25 * time.Millisecond
	// missedGap is the pause after a renewal without an answer, if it was not the first.
	missedGap = 150 * time.Millisecond
	// idleGap is that pause for a worker that runs nothing and has been silent for a while: most of these are gone.
	idleGap = time.Second
)

// keepContact renews the leases on a worker and takes in its ends, until the board forgets its life.
func (h *holder) keepContact(life work.Life) {
	defer func() {
		h.mu.Lock()
		delete(h.contacts, life)
		h.mu.Unlock()
	}()
	silent := false
	for h.ctx.Err() == nil {
		h.mu.Lock()
		renewal, ok := h.board.Renew(life, renewWait, time.Now())
		misses := h.board.Misses(life)
		h.mu.Unlock()
		if !ok {
			return
		}
		report, err := h.m.renew(h.ctx, renewal, misses)
		if h.ctx.Err() != nil || !h.takeReport(life, renewal, report, err) {
			return
		}
		if silent != (err != nil) {
			silent = err != nil
			h.tellSilence(life, err)
		}
		gap := h.m.patience.pause()
		if err != nil {
			gap = h.missedGap(life)
		}
		if !sleep(h.ctx, gap) {
			return
		}
	}
}

// renew makes a call that renews a worker, within the time that workers usually take, and twice that after each call without an answer: no
// start tells how long answers take while nothing is started.
func (m *Manager) renew(ctx context.Context, r work.Renewal, misses int) (work.Report, error) {
	limit := min(m.patience.limit()<<min(misses, 10), mostPatience)
	callCtx, cancel := context.WithTimeout(ctx, r.Wait+limit)
	defer cancel()
	return m.Executors.Renew(callCtx, r)
}

// send carries out an order within the time that workers usually take.
func (m *Manager) send(ctx context.Context, o work.Order) work.Answer {
	callCtx, cancel := context.WithTimeout(ctx, m.patience.limit())
	defer cancel()
	began := time.Now()
	answer := m.Executors.Send(callCtx, o)
	if o.Kind == work.OrderStart && ctx.Err() == nil && answer.Verdict != work.VerdictNotSent {
		// Only starts: they go to workers that answered a moment ago. Other calls also go to workers that are gone.
		m.patience.took(time.Since(began), answer.Verdict != work.VerdictUnknown)
	}
	return answer
}

// missedGap is the pause after a renewal without an answer.
func (h *holder) missedGap(life work.Life) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.board.Idle(life):
		return idleGap
	case h.board.Misses(life) <= 1:
		return renewGap
	}
	return missedGap
}

func (h *holder) tellSilence(life work.Life, err error) {
	number, detail := event.WorkerHeard, ""
	if err != nil {
		number, detail = event.WorkerSilent, err.Error()
	}
	h.m.record(event.Event{Number: number, Pool: h.pool, Host: life.Worker, Detail: detail})
}

// takeReport gives the board a worker's answer. It reports false if there is nothing more to renew.
func (h *holder) takeReport(life work.Life, renewal work.Renewal, report work.Report, err error) bool {
	var stale platform.ErrStaleEpoch
	var over platform.ErrLifeOver
	defer h.wake()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		for _, e := range h.board.Report(life, renewal.Sequence, report, time.Now()) {
			h.m.record(event.Event{
				Number: event.WorkRunEnded, Pool: h.pool, Host: life.Worker, Job: string(e.Run.Task.Job),
				Detail: fmt.Sprintf("%s: %s, end %d of the worker", e.Run, e.How, e.Number),
			})
		}
	case errors.As(err, &stale):
		h.lose(err.Error())
		return false
	case errors.As(err, &over):
		h.m.record(event.Event{Number: event.WorkerLost, Pool: h.pool, Host: life.Worker, Detail: err.Error()})
		if over.Born != 0 {
			h.board.Reborn(life, over.Born)
		} else {
			h.board.Gone(life)
		}
	default:
		h.board.Missed(life, time.Now())
	}
	return true
}

// send carries out one order and tells the board its outcome.
func (h *holder) send(o work.Order) {
	answer := h.m.send(h.ctx, o)
	h.tellOrder(o, answer)
	h.mu.Lock()
	ours := h.board.Answered(o, answer, time.Now())
	h.mu.Unlock()
	if !ours {
		h.lose("worker " + o.Life.Worker + " has seen a higher epoch")
		return
	}
	h.wake()
}

// tellGivenUp records why a run counts as over. A refusal has a line of its own.
func (h *holder) tellGivenUp(g work.GivenUp) {
	if g.Cause == work.CauseRefused {
		return
	}
	h.m.record(event.Event{
		Number: event.WorkGivenUp, Pool: h.pool, Host: g.Life.Worker, Job: string(g.Run.Task.Job),
		Detail: fmt.Sprintf("%s: %s, wanted %t, heard %s ago, clock at least %s, last lease to %s, %d calls unanswered",
			g.Run, g.Cause, g.Wanted, g.Heard.Round(time.Millisecond), g.Clock.Round(time.Millisecond), g.Granted.Round(time.Millisecond), g.Misses),
	})
}

func (h *holder) tellOrder(o work.Order, a work.Answer) {
	number := event.WorkStarted
	switch {
	case o.Kind == work.OrderStop:
		number = event.WorkRunStopped
	case o.Kind == work.OrderPace:
		number = event.WorkPaced
	case a.Verdict == work.VerdictUnknown:
		number = event.WorkStartUnsure
	case a.Verdict != work.VerdictOK:
		number = event.WorkStartRefused
	}
	h.m.record(event.Event{
		Number: number, Pool: h.pool, Host: o.Life.Worker, Job: string(o.Run.Task.Job),
		Detail: strings.TrimSuffix(fmt.Sprintf("%s: %s, %s", o.Run, a.Verdict, o.Why), ", "),
	})
}
