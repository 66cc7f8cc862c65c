package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"siskincross/core/host"
	"siskincross/io/standin"
)

// execute executes one event and returns when its duration is over. ctx ends
// when callers stop waiting for jobs.
func (r *replayer) execute(ctx context.Context, e Event, random *rand.Rand) error {
	switch e.Kind {
	case KindEntry:
		return r.changeEntryHost(ctx, e)
	case KindDemand:
		e.Work = scaled(e.Work, r.options.Speed)
		return r.callers.sendRequests(ctx, e, random, r.options.Speed)
	case KindJob:
		e.Work = scaled(e.Work, r.options.Speed)
		return r.submitters.submit(ctx, e)
	case KindCancel:
		return r.submitters.cancel(ctx, e, random)
	case KindFail:
		return r.failHosts(ctx, e)
	case KindLeave:
		return r.platform.AnnounceHostRemoval(host.ID(e.Host), scaled(e.Notice, r.options.Speed))
	case KindAnswers:
		return r.injectAnswerFaults(e)
	case KindWorker:
		return r.injectWorkerFaults(ctx, e)
	case KindStore:
		return r.injectStoreFaults(ctx, e)
	case KindList:
		r.platform.SetListFaults(standin.ListFaults{Down: e.Down, Empty: e.Empty, OmitProbability: e.Flap})
		r.waitForEnd(ctx, e)
		r.platform.SetListFaults(standin.ListFaults{})
		return nil
	case KindApply:
		return r.operators.apply(ctx, e)
	case KindPlatform, KindHosts, KindSettings, KindEnd:
	}
	return nil
}

// waitForEnd waits until the duration of an event is over; zero means until the end of the trace.
func (r *replayer) waitForEnd(ctx context.Context, e Event) {
	end := e.At + e.For
	if e.For == 0 {
		end = r.trace.Duration()
	}
	sleep(ctx, time.Until(r.started.Add(scaled(end, r.options.Speed))))
}

// changeEntryHost starts, stops, kills or replaces an entry host.
func (r *replayer) changeEntryHost(ctx context.Context, e Event) error {
	switch {
	case e.Start:
		return r.cluster.launchAndAwait(ctx, e.Index, e.Zone)
	case e.Kill:
		return r.cluster.kill(e.Index)
	case e.Stop:
		return r.cluster.stop(ctx, e.Index)
	case e.Replace:
		if err := r.cluster.stop(ctx, e.Index); err != nil {
			return err
		}
		return r.cluster.launchAndAwait(ctx, e.Index, e.Zone)
	}
	return fmt.Errorf("entry needs one of start, stop, kill and replace")
}

// failHosts makes the selected hosts fail at the same time, and recover together if the event has a duration.
func (r *replayer) failHosts(ctx context.Context, e Event) error {
	ids := e.matchingHosts(r.fleet)
	if len(ids) == 0 || len(ids) == len(r.fleet.Hosts) {
		return fmt.Errorf("fail must select some of the hosts by host, rack or zone")
	}
	mode := standin.FailRefuse
	if e.Hang {
		mode = standin.FailHang
	}
	for _, id := range ids {
		if err := r.platform.FailHost(id, mode); err != nil {
			return err
		}
	}
	if e.For == 0 {
		return nil
	}
	r.waitForEnd(ctx, e)
	for _, id := range ids {
		if err := r.platform.RecoverHost(id); err != nil {
			return err
		}
	}
	return nil
}

// injectAnswerFaults makes the next responses of targets faulty, in addition to
// the faults of earlier events that have not yet occurred.
func (r *replayer) injectAnswerFaults(e Event) error {
	return r.changeTargetFaults(e, func(f *standin.TargetFaults) {
		f.DuplicatedResponses += e.Duplicate
		f.CrossedResponses += e.Cross
		f.TruncatedResponses += e.Cut
		f.MalformedResponses += e.Garbage
		f.DelayedResponses += e.Late
		f.ResponseDelay = scaled(e.LateBy, r.options.Speed)
	})
}

// changeTargetFaults applies change to the faults of each target that the event selects.
func (r *replayer) changeTargetFaults(e Event, change func(*standin.TargetFaults)) error {
	ids := e.matchingHosts(r.fleet)
	if len(ids) == 0 {
		return fmt.Errorf("%s selects no host", e.Kind)
	}
	for _, id := range ids {
		if err := r.platform.UpdateTargetFaults(id, change); err != nil {
			return err
		}
	}
	return nil
}

// injectWorkerFaults makes workers fail tasks or not return from reboots for the duration of the event.
func (r *replayer) injectWorkerFaults(ctx context.Context, e Event) error {
	err := r.changeTargetFaults(e, func(f *standin.TargetFaults) { f.FailTasks, f.RebootsHang = e.FailTasks, e.NeverReturns })
	if err != nil || e.For == 0 {
		return err
	}
	r.waitForEnd(ctx, e)
	return r.changeTargetFaults(e, func(f *standin.TargetFaults) { f.FailTasks, f.RebootsHang = false, false })
}

// injectStoreFaults makes the table service fail. While the table service is down, so is the object store.
func (r *replayer) injectStoreFaults(ctx context.Context, e Event) error {
	r.platform.Table.SetFaults(standin.TableFaults{
		Down: e.Down, Delay: e.Slow, LoseAnswers: e.LoseAnswers, LoseCommits: e.LoseCommits,
	})
	r.platform.Objects.SetDown(e.Down)
	if !e.Down && e.Slow == 0 {
		return nil
	}
	r.waitForEnd(ctx, e)
	r.platform.Objects.SetDown(false)
	r.platform.Table.SetFaults(standin.TableFaults{})
	return nil
}
