package replay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// holdCheckInterval is the period of checking whether the end of a trace is still held back.
	holdCheckInterval = 200 * time.Millisecond
	// maxHoldFactor bounds the hold by what the entry hosts do: it ends once they have committed this many times as many
	// transactions as before it. They commit heartbeats at any time, and less often on a slow machine.
	maxHoldFactor = 5
)

// holdEnd holds back the end of the trace until Options.Until holds, while the demand of the trace goes on.
func (r *replayer) holdEnd(ctx context.Context) error {
	if r.options.Until == nil {
		return nil
	}
	commits := r.platform.Table.Counts().Commits
	ctx, cancel := context.WithCancel(ctx)
	var demand sync.WaitGroup
	defer demand.Wait()
	defer cancel()
	holding := false
	for r.platform.Table.Counts().Commits < maxHoldFactor*commits {
		verdicts, err := r.currentVerdicts()
		if err != nil || r.options.Until(verdicts) {
			return err
		}
		if !holding {
			holding = true
			r.continueDemand(ctx, &demand)
		}
		if !sleep(ctx, holdCheckInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// continueDemand sends the requests of all demands of the trace until ctx ends.
func (r *replayer) continueDemand(ctx context.Context, demand *sync.WaitGroup) {
	for _, e := range r.trace.eventsOfKind(KindDemand) {
		random := rand.New(rand.NewPCG(r.options.Seed+1, uint64(e.Line)))
		e.Work = scaled(e.Work, r.options.Speed)
		demand.Go(func() { r.callers.sendUntilDone(ctx, e, random, r.options.Speed) })
	}
}

// currentVerdicts returns the verdicts on what was recorded so far, jobs excepted.
func (r *replayer) currentVerdicts() ([]Verdict, error) {
	h := History{Trace: r.trace, speed: r.options.Speed, Started: r.started, Ended: time.Now(), ownership: r.ownership, fleet: r.fleet}
	h.Calls = r.callers.records()
	h, err := r.collectHistory(h)
	return h.checkProperties(), err
}
