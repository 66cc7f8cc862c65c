package replay

import (
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// detectionGrace is the time that the system has to react to a failure after the list of hosts shows it.
const detectionGrace = 3 * time.Second

// outage is a span in which a host was out of service.
type outage struct {
	host host.ID
	pool string
	// start is when the host went out of service; noticedBy is when the system had to have noticed it.
	start, noticedBy time.Time
	// end is when the host returned to service; zero if it did not.
	end     time.Time
	planned bool
}

// includes reports whether the host was out of service at a moment.
func (o outage) includes(at time.Time) bool {
	return !o.start.After(at) && (o.end.IsZero() || o.end.After(at))
}

// outages returns the spans in which hosts were out of service. A planned
// disruption starts with a drain and ends when the host is undrained; one that
// starts with a reboot without a drain ends when the host returns. A host counts
// in the pool that owned it at the start.
func (h History) outages() []outage {
	var all []outage
	planned, failed := make(map[host.ID]int), make(map[host.ID]int)
	begin := func(open map[host.ID]int, change standin.HostChange, isPlanned bool) {
		if _, ok := open[change.Host]; ok {
			return
		}
		o := outage{host: change.Host, pool: h.ownership.owner(change.Host, change.At), start: change.At, noticedBy: change.At, planned: isPlanned}
		if !isPlanned {
			o.noticedBy = change.At.Add(h.fleet.ListLag + detectionGrace)
		}
		open[change.Host] = len(all)
		all = append(all, o)
	}
	end := func(open map[host.ID]int, change standin.HostChange) {
		if i, ok := open[change.Host]; ok {
			all[i].end = change.At
			delete(open, change.Host)
		}
	}
	drained := make(map[host.ID]bool)
	for _, change := range h.Records.HostChanges {
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

// checkBudgets requires that no planned disruption starts while the pool's other
// outages that the system had to have noticed already use up the budget.
func checkBudgets(h History) finding {
	var f finding
	budgets := h.Trace.budgets()
	all := h.outages()
	for i, o := range all {
		if !o.planned {
			continue
		}
		out := map[host.ID]bool{o.host: true}
		for j, other := range all {
			if j != i && other.pool == o.pool && other.includes(o.start) && !other.noticedBy.After(o.start) {
				out[other.host] = true
			}
		}
		f.addCase(true)
		if len(out) > budgets[o.pool] {
			f.addViolation(o.start, "host %s of %s was taken out of service, so that %d hosts are out with a budget of %d", o.host, o.pool, len(out), budgets[o.pool])
		}
	}
	return f
}

// checkOwnership requires that the rows assign each host to exactly one pool, and
// that a host runs requests and tasks only of the pool that owns it.
func checkOwnership(h History) finding {
	var f finding
	for range h.ownership.moves() {
		f.addCase(true)
	}
	for _, violation := range h.ownership.violationList() {
		f.addViolation(h.Started, "%s", violation)
	}
	queues := make(map[string]string)
	for _, call := range h.Calls {
		queues[call.Serial] = call.Queue
	}
	for _, run := range h.Records.Requests {
		pool, ok := h.pools[queues[run.CallerSerial]]
		if !ok || run.Outcome == standin.RunRefused {
			continue
		}
		f.addCase(false)
		if owner := h.ownership.owner(run.Host, run.Started); owner != pool {
			f.addViolation(run.Started, "host %s of %s ran request %s of %s", run.Host, owner, run.RequestID, pool)
		}
	}
	for _, task := range h.Records.Tasks {
		f.addCase(false)
		if owner := h.ownership.owner(task.Host, task.Started); owner != task.Spec.Pool {
			f.addViolation(task.Started, "host %s of %s ran task %s of %s", task.Host, owner, task.Spec.Task, task.Spec.Pool)
		}
	}
	return f
}

// checkStops requires that a reboot interrupts no request or task, that a planned
// stop of an entry host leaves none of its calls without an outcome, and that the
// stop succeeds.
func checkStops(h History) finding {
	var f finding
	for _, change := range h.Records.HostChanges {
		if change.Kind == standin.ChangeRebooted {
			h.checkReboot(&f, change)
		}
	}
	for _, stop := range h.Stops {
		busy := false
		for _, call := range h.Calls {
			if call.Process != stop.Process || call.Ended.Before(stop.Started) {
				continue
			}
			busy = true
			if call.Outcome == OutcomeNone {
				f.addViolation(call.Ended, "stop of %s interrupted call %s: %s", stop.Process, call.Serial, call.Error)
			}
		}
		f.addCase(busy)
		if stop.Err != nil {
			f.addViolation(stop.Ended, "stop of %s failed: %v", stop.Process, stop.Err)
		}
	}
	return f
}

// recentWorkWindow is the time before a reboot in which work on the host makes the case count as provoked.
const recentWorkWindow = 5 * time.Second

// checkReboot requires that no request or task was in progress on a host when it was rebooted.
func (h History) checkReboot(f *finding, change standin.HostChange) {
	recentlyUsed := false
	windowStart := change.At.Add(-recentWorkWindow)
	for _, run := range h.Records.Requests {
		if run.Host != change.Host || run.Outcome == standin.RunRefused || run.Started.After(change.At) {
			continue
		}
		recentlyUsed = recentlyUsed || run.Finished.After(windowStart)
		if run.Outcome == standin.RunInProgress || run.Finished.After(change.At) {
			f.addViolation(change.At, "reboot of host %s interrupted request %s", change.Host, run.RequestID)
		}
	}
	for _, task := range h.Records.Tasks {
		if task.Host != change.Host || task.Started.After(change.At) {
			continue
		}
		recentlyUsed = recentlyUsed || task.Ended.IsZero() || task.Ended.After(windowStart)
		interrupted := task.State == platform.TaskRunning || task.State == platform.TaskFailed && task.Ended.Equal(change.At)
		if interrupted {
			f.addViolation(change.At, "reboot of host %s interrupted task %s", change.Host, task.Spec.Task)
		}
	}
	f.addCase(recentlyUsed)
}
