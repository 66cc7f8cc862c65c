package replay

import (
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// groupRuns groups runs by the name that nameFunc returns. It omits runs that the
// target refused and runs with an empty name.
func groupRuns(runs []standin.RequestRecord, nameFunc func(standin.RequestRecord) string) map[string][]standin.RequestRecord {
	groups := make(map[string][]standin.RequestRecord)
	for _, run := range runs {
		if name := nameFunc(run); name != "" && run.Outcome != standin.RunRefused {
			groups[name] = append(groups[name], run)
		}
	}
	return groups
}

func runCaller(r standin.RequestRecord) string { return r.CallerSerial }
func runKey(r standin.RequestRecord) string    { return r.IdempotencyKey }

// anyFaulted reports whether a fault was injected into one of the runs, or one did not complete.
func anyFaulted(runs []standin.RequestRecord) bool {
	for _, run := range runs {
		if run.InjectedFault != "" || run.Outcome != standin.RunWhole {
			return true
		}
	}
	return false
}

// checkAnswers requires that
//   - a response that seems complete is complete and belongs to the call,
//   - a call gets an outcome unless its entry host was killed,
//   - a complete response of a target without faults reaches its caller,
//   - an accepted job ends, with its complete result if it is idempotent, can
//     run and was not cancelled,
//   - the share of answered calls is at least the one that the trace states.
func checkAnswers(h History) finding {
	var f finding
	runs := groupRuns(h.Records.Requests, runCaller)
	answered := 0
	for _, call := range h.Calls {
		faulted := anyFaulted(runs[call.Serial])
		f.addCase(faulted)
		switch {
		case call.Mismatch != "":
			f.addViolation(call.Ended, "call %s through %s: %s", call.Serial, call.Process, call.Mismatch)
		case call.Outcome == OutcomeAnswered:
			answered++
		case h.entryHostKilled(call):
		case call.Outcome == OutcomeNone:
			f.addViolation(call.Ended, "call %s through %s got no outcome: %s", call.Serial, call.Process, call.Error)
		case call.Outcome == OutcomeAborted && !faulted:
			f.addViolation(call.Ended, "call %s through %s was cut off although its target's response was complete: %s", call.Serial, call.Process, call.Error)
		}
	}
	h.checkJobResults(&f)
	if minShare := h.minAnsweredShare(); len(h.Calls) > 0 && float64(answered) < minShare*float64(len(h.Calls)) {
		f.addViolation(h.Ended, "%d of %d calls were answered, the trace requires a share of %.2f", answered, len(h.Calls), minShare)
	}
	return f
}

// minAnsweredShare returns the share of calls that the trace requires to be answered.
func (h History) minAnsweredShare() float64 {
	events := h.Trace.Events
	return events[len(events)-1].Answered
}

// entryHostKilled reports whether the call's entry host was killed before the call ended.
func (h History) entryHostKilled(call Call) bool {
	at, ok := h.Killed[call.Process]
	return ok && !call.Ended.Before(at)
}

// checkJobResults requires that accepted jobs end, and with which state and result.
func (h History) checkJobResults(f *finding) {
	for _, job := range h.Jobs {
		if !job.Accepted {
			continue
		}
		f.addCase(true)
		switch {
		case !job.Final:
			f.addViolation(job.ObservedAt, "job %s was accepted and has not ended: %s", job.ID, job.State)
		case job.Mismatch != "":
			f.addViolation(job.ObservedAt, "result of job %s: %s", job.ID, job.Mismatch)
		case job.mustFinish() && job.State != jobFinished:
			f.addViolation(job.ObservedAt, "job %s can finish and ended as %s", job.ID, job.State)
		}
	}
}

// mustFinish reports whether only a fault of the system can keep the job from finishing.
func (j JobCall) mustFinish() bool { return j.Idempotent && !j.AlwaysFails && !j.Cancelled }

// checkNotRun requires that no target started a request whose caller was told that it was not run.
func checkNotRun(h History) finding {
	var f finding
	runs := groupRuns(h.Records.Requests, runCaller)
	for _, call := range h.Calls {
		if call.Outcome != OutcomeNotRun {
			continue
		}
		f.addCase(true)
		if ran := runs[call.Serial]; len(ran) > 0 {
			f.addViolation(call.Ended, "call %s was answered not-run by %s and ran on %s", call.Serial, call.Process, ran[0].Host)
		}
	}
	return f
}

// checkAtMostOnce requires at most one run of each request that is not
// idempotent, of all requests with the same key, and of each job that is not
// idempotent. No job finishes twice.
func checkAtMostOnce(h History) finding {
	var f finding
	byCaller, byKey := groupRuns(h.Records.Requests, runCaller), groupRuns(h.Records.Requests, runKey)
	callsByKey := make(map[string]int)
	for _, call := range h.Calls {
		if call.Key != "" {
			callsByKey[call.Key]++
		}
	}
	for key, n := range callsByKey {
		ran := byKey[key]
		f.addCase(n > 1 || anyFaulted(ran))
		if len(ran) > 1 {
			f.addViolation(ran[1].Started, "key %s ran %d times, on %s and %s", key, len(ran), ran[0].Host, ran[1].Host)
		}
	}
	for _, call := range h.Calls {
		if call.Key != "" || call.Idempotent {
			continue
		}
		ran := byCaller[call.Serial]
		f.addCase(anyFaulted(ran))
		if len(ran) > 1 {
			f.addViolation(ran[1].Started, "call %s ran %d times, on %s and %s", call.Serial, len(ran), ran[0].Host, ran[1].Host)
		}
	}
	h.checkTasks(&f)
	return f
}

// checkTasks requires that no job finishes twice and that a job that is not
// idempotent is started at most once.
func (h History) checkTasks(f *finding) {
	type count struct{ started, finished int }
	counts := make(map[string]count)
	for _, task := range h.Records.Tasks {
		c := counts[task.Spec.Job]
		c.started++
		if task.State == platform.TaskFinished {
			c.finished++
		}
		counts[task.Spec.Job] = c
		if c.finished > 1 {
			f.addViolation(task.Ended, "job %s finished %d times", task.Spec.Job, c.finished)
		}
	}
	for _, job := range h.Jobs {
		c := counts[job.ID]
		f.addCase(c.started != c.finished)
		if !job.Idempotent && c.started > 1 {
			f.addViolation(job.ObservedAt, "job %s is not idempotent and was started %d times", job.ID, c.started)
		}
	}
}

// leavingGrace is the time after which a drained or leaving host must get no new work.
const leavingGrace = 3 * time.Second

// noNewWorkSpan is a span in which a host must get no new work.
type noNewWorkSpan struct {
	host     host.ID
	from, to time.Time
	reason   string
}

// noNewWorkSpans returns the spans in which hosts were drained, or listed as leaving.
func (h History) noNewWorkSpans() []noNewWorkSpan {
	var spans []noNewWorkSpan
	drained := make(map[host.ID]time.Time)
	gone := make(map[host.ID]time.Time)
	for _, change := range h.Records.HostChanges {
		if change.Kind == standin.ChangeGone {
			gone[change.Host] = change.At
		}
	}
	for _, change := range h.Records.HostChanges {
		switch change.Kind {
		case standin.ChangeDrained:
			drained[change.Host] = change.At
		case standin.ChangeUndrained:
			spans = append(spans, noNewWorkSpan{change.Host, drained[change.Host], change.At, "drained"})
			delete(drained, change.Host)
		case standin.ChangeLeaving:
			end, ok := gone[change.Host]
			if !ok {
				end = h.Ended
			}
			spans = append(spans, noNewWorkSpan{change.Host, change.At.Add(h.fleet.ListLag), end, "leaving"})
		}
	}
	for id, from := range drained {
		spans = append(spans, noNewWorkSpan{id, from, h.Ended, "drained"})
	}
	return spans
}

// checkLeaving requires that no request or task reaches a host that has been
// drained, or listed as leaving, for longer than leavingGrace. Refused ones count.
func checkLeaving(h History) finding {
	var f finding
	for _, span := range h.noNewWorkSpans() {
		after := span.from.Add(leavingGrace)
		if !after.Before(span.to) {
			continue
		}
		f.addCase(true)
		for _, run := range h.Records.Requests {
			if run.Host == span.host && run.Started.After(after) && run.Started.Before(span.to) {
				f.addViolation(run.Started, "host %s, %s since %s, got request %s of %s", span.host, span.reason, span.from.Format(timeFormat), run.RequestID, run.CallerSerial)
			}
		}
		for _, task := range h.Records.Tasks {
			if task.Host == span.host && task.Started.After(after) && task.Started.Before(span.to) {
				f.addViolation(task.Started, "host %s, %s since %s, got task %s", span.host, span.reason, span.from.Format(timeFormat), task.Spec.Task)
			}
		}
	}
	return f
}
