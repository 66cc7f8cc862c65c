package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"siskincross/core/host"
	"siskincross/io/standin"
)

// carryOut carries out one event and returns when its time is over. jobs ends when callers give up on jobs.
func (s *stage) carryOut(jobs context.Context, e Event, random *rand.Rand) error {
	switch e.Kind {
	case KindEntry:
		return s.entry(jobs, e)
	case KindDemand:
		e.Work = scaled(e.Work, s.options.Speed)
		return s.callers.demand(jobs, e, random, s.options.Speed)
	case KindJob:
		e.Work = scaled(e.Work, s.options.Speed)
		return s.submitters.submit(jobs, e)
	case KindCancel:
		return s.submitters.cancel(jobs, e, random)
	case KindFail:
		return s.fail(jobs, e)
	case KindLeave:
		return s.platform.Leave(host.ID(e.Host), scaled(e.Notice, s.options.Speed))
	case KindAnswers:
		return s.spoil(e)
	case KindWorker:
		return s.spoilWorker(jobs, e)
	case KindStore:
		return s.store(jobs, e)
	case KindList:
		s.platform.SetListFaults(standin.ListFaults{Down: e.Down, Empty: e.Empty, Flap: e.Flap})
		s.hold(jobs, e)
		s.platform.SetListFaults(standin.ListFaults{})
		return nil
	case KindApply:
		return s.operators.apply(jobs, e)
	case KindPlatform, KindHosts, KindSettings, KindEnd:
	}
	return nil
}

// hold waits for the time of an event; zero means until the end of the trace.
func (s *stage) hold(ctx context.Context, e Event) {
	end := e.At + e.For
	if e.For == 0 {
		end = s.trace.Length()
	}
	sleep(ctx, time.Until(s.begun.Add(scaled(end, s.options.Speed))))
}

func (s *stage) entry(ctx context.Context, e Event) error {
	switch {
	case e.Start:
		return s.cluster.add(ctx, e.Index, e.Zone)
	case e.Kill:
		return s.cluster.kill(e.Index)
	case e.Stop:
		return s.cluster.stop(ctx, e.Index)
	case e.Replace:
		if err := s.cluster.stop(ctx, e.Index); err != nil {
			return err
		}
		return s.cluster.add(ctx, e.Index, e.Zone)
	}
	return fmt.Errorf("entry needs one of start, stop, kill and replace")
}

// fail makes hosts fail together, and recover together.
func (s *stage) fail(ctx context.Context, e Event) error {
	ids := e.selected(s.fleet)
	if len(ids) == 0 || len(ids) == len(s.fleet.Hosts) {
		return fmt.Errorf("fail must name hosts by host, rack or zone")
	}
	mode := standin.FailRefuse
	if e.Hang {
		mode = standin.FailHang
	}
	for _, id := range ids {
		if err := s.platform.Fail(id, mode); err != nil {
			return err
		}
	}
	if e.For == 0 {
		return nil
	}
	s.hold(ctx, e)
	for _, id := range ids {
		if err := s.platform.Recover(id); err != nil {
			return err
		}
	}
	return nil
}

// spoil spoils coming answers, besides those that earlier events left.
func (s *stage) spoil(e Event) error {
	return s.setTargets(e, func(f *standin.TargetFaults) {
		f.Duplicate += e.Duplicate
		f.Cross += e.Cross
		f.Cut += e.Cut
		f.Garbage += e.Garbage
		f.Late += e.Late
		f.LateBy = scaled(e.LateBy, s.options.Speed)
	})
}

func (s *stage) setTargets(e Event, change func(*standin.TargetFaults)) error {
	ids := e.selected(s.fleet)
	if len(ids) == 0 {
		return fmt.Errorf("%s names no host", e.Kind)
	}
	for _, id := range ids {
		if err := s.platform.ChangeTargetFaults(id, change); err != nil {
			return err
		}
	}
	return nil
}

func (s *stage) spoilWorker(ctx context.Context, e Event) error {
	err := s.setTargets(e, func(f *standin.TargetFaults) { f.FailTasks, f.NeverReturns = e.FailTasks, e.NeverReturns })
	if err != nil || e.For == 0 {
		return err
	}
	s.hold(ctx, e)
	return s.setTargets(e, func(f *standin.TargetFaults) { f.FailTasks, f.NeverReturns = false, false })
}

// store makes the table service fail. The object store is down with it.
func (s *stage) store(ctx context.Context, e Event) error {
	s.platform.Table.SetFaults(standin.TableFaults{
		Down: e.Down, Delay: e.Slow, LoseAnswers: e.LoseAnswers, LoseCommits: e.LoseCommits,
	})
	s.platform.Objects.SetDown(e.Down)
	if !e.Down && e.Slow == 0 {
		return nil
	}
	s.hold(ctx, e)
	s.platform.Objects.SetDown(false)
	s.platform.Table.SetFaults(standin.TableFaults{})
	return nil
}
