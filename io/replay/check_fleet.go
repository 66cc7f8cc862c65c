package replay

import (
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// noticeGrace is the time that the system has to take a failure that the list shows into account.
const noticeGrace = 3 * time.Second

// outage is a span in which a host was out of service.
type outage struct {
	host host.ID
	pool string
	// from is when the host went out of service; known is when the system had to know of it.
	from, known time.Time
	// to is when it came back; zero if it did not.
	to      time.Time
	planned bool
}

func (o outage) covers(at time.Time) bool {
	return !o.from.After(at) && (o.to.IsZero() || o.to.After(at))
}

// outages returns the spans in which hosts were out of service. A planned
// disruption begins with a drain, or with a reboot without one, and ends when
// the host is undrained. A host counts in the pool that owned it at the beginning.
func (e Evidence) outages() []outage {
	var all []outage
	planned, failed := make(map[host.ID]int), make(map[host.ID]int)
	begin := func(open map[host.ID]int, change standin.Change, isPlanned bool) {
		if _, ok := open[change.Host]; ok {
			return
		}
		o := outage{host: change.Host, pool: e.ownership.ownerAt(change.Host, change.At), from: change.At, known: change.At, planned: isPlanned}
		if !isPlanned {
			o.known = change.At.Add(e.fleet.ListLag + noticeGrace)
		}
		open[change.Host] = len(all)
		all = append(all, o)
	}
	end := func(open map[host.ID]int, change standin.Change) {
		if i, ok := open[change.Host]; ok {
			all[i].to = change.At
			delete(open, change.Host)
		}
	}
	drained := make(map[host.ID]bool)
	for _, change := range e.Records.Changes {
		switch change.Kind {
		case standin.ChangeDrained:
			drained[change.Host] = true
			begin(planned, change, true)
		case standin.ChangeRebooted:
			begin(planned, change, true)
		case standin.ChangeUndrained:
			drained[change.Host] = false
			end(planned, change)
		case standin.ChangeReturned:
			if !drained[change.Host] {
				end(planned, change)
			}
		case standin.ChangeFailed, standin.ChangeLeaving:
			begin(failed, change, false)
		case standin.ChangeRecovered:
			end(failed, change)
		case standin.ChangeGone, standin.ChangeConnections:
		}
	}
	return all
}

// checkBudgets requires that no planned disruption begins while the pool's other
// hosts that are out of service, as far as the system had to know of them,
// leave no room in the budget.
func checkBudgets(e Evidence) finding {
	var f finding
	budgets := e.Trace.budgets()
	all := e.outages()
	for i, o := range all {
		if !o.planned {
			continue
		}
		out := map[host.ID]bool{o.host: true}
		for j, other := range all {
			if j != i && other.pool == o.pool && other.covers(o.from) && !other.known.After(o.from) {
				out[other.host] = true
			}
		}
		f.look(true)
		if len(out) > budgets[o.pool] {
			f.breach(o.from, "host %s of %s was taken out of service, %d hosts are out, the budget is %d", o.host, o.pool, len(out), budgets[o.pool])
		}
	}
	return f
}

// checkOwnership requires that the rows give each host to one pool, and that
// a host runs requests and tasks of the pool that owns it only.
func checkOwnership(e Evidence) finding {
	var f finding
	for range e.ownership.moves() {
		f.look(true)
	}
	for _, fault := range e.ownership.faults {
		f.breach(e.Begun, "%s", fault)
	}
	queues := make(map[string]string)
	for _, call := range e.Calls {
		queues[call.Serial] = call.Queue
	}
	for _, run := range e.Records.Runs {
		pool, ok := e.pools[queues[run.Caller]]
		if !ok || run.Outcome == standin.RunRefused {
			continue
		}
		f.look(false)
		if owner := e.ownership.ownerAt(run.Host, run.Started); owner != pool {
			f.breach(run.Started, "host %s of %s ran request %s of %s", run.Host, owner, run.Request, pool)
		}
	}
	for _, task := range e.Records.Tasks {
		f.look(false)
		if owner := e.ownership.ownerAt(task.Host, task.Started); owner != task.Spec.Pool {
			f.breach(task.Started, "host %s of %s ran task %s of %s", task.Host, owner, task.Spec.Task, task.Spec.Pool)
		}
	}
	return f
}

// checkStops requires that a reboot cuts off no request and no task, and that
// a planned stop of an entry host leaves none of its calls without an outcome.
func checkStops(e Evidence) finding {
	var f finding
	for _, change := range e.Records.Changes {
		if change.Kind == standin.ChangeRebooted {
			e.checkReboot(&f, change)
		}
	}
	for _, stop := range e.Stops {
		busy := false
		for _, call := range e.Calls {
			if call.Process != stop.Process || call.Ended.Before(stop.Begun) {
				continue
			}
			busy = true
			if call.Outcome == OutcomeNone {
				f.breach(call.Ended, "the stop of %s cut off call %s: %s", stop.Process, call.Serial, call.Error)
			}
		}
		f.look(busy)
		if stop.Err != nil {
			f.breach(stop.Ended, "the stop of %s failed: %v", stop.Process, stop.Err)
		}
	}
	return f
}

// recentWork is the time before a reboot in which work shows that the host was in use.
const recentWork = 5 * time.Second

// checkReboot looks at the work on a host when it was rebooted.
func (e Evidence) checkReboot(f *finding, change standin.Change) {
	worked := false
	inUse := change.At.Add(-recentWork)
	for _, run := range e.Records.Runs {
		if run.Host != change.Host || run.Outcome == standin.RunRefused || run.Started.After(change.At) {
			continue
		}
		worked = worked || run.Finished.After(inUse)
		if run.Outcome == standin.RunInProgress || run.Finished.After(change.At) {
			f.breach(change.At, "the reboot of host %s cut off request %s", change.Host, run.Request)
		}
	}
	for _, task := range e.Records.Tasks {
		if task.Host != change.Host || task.Started.After(change.At) {
			continue
		}
		worked = worked || task.Ended.IsZero() || task.Ended.After(inUse)
		cut := task.State == platform.TaskRunning || task.State == platform.TaskFailed && task.Ended.Equal(change.At)
		if cut {
			f.breach(change.At, "the reboot of host %s cut off task %s", change.Host, task.Spec.Task)
		}
	}
	f.look(worked)
}
