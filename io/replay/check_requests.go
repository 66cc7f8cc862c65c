package replay

import (
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// runsBy groups the runs that started by a name; runs without the name are left out.
func runsBy(runs []standin.Run, name func(standin.Run) string) map[string][]standin.Run {
	groups := make(map[string][]standin.Run)
	for _, run := range runs {
		if key := name(run); key != "" && run.Outcome != standin.RunRefused {
			groups[key] = append(groups[key], run)
		}
	}
	return groups
}

func runCaller(r standin.Run) string { return r.Caller }
func runKey(r standin.Run) string    { return r.Key }

// disturbed reports whether a run was spoilt or cut.
func disturbed(runs []standin.Run) bool {
	for _, run := range runs {
		if run.Fault != "" || run.Outcome != standin.RunWhole {
			return true
		}
	}
	return false
}

// checkAnswers requires that an answer that looks whole is whole and the caller's
// own, that a caller who stayed got a word of the system unless its entry host
// was killed, that a whole and undisturbed answer of a target reached its
// caller, and that an accepted job ends: with its whole result if it is
// idempotent, can run and was not cancelled.
func checkAnswers(e Evidence) finding {
	var f finding
	runs := runsBy(e.Records.Runs, runCaller)
	answered := 0
	for _, call := range e.Calls {
		spoilt := disturbed(runs[call.Serial])
		f.look(spoilt)
		switch {
		case call.Wrong != "":
			f.breach(call.Ended, "call %s through %s: %s", call.Serial, call.Process, call.Wrong)
		case call.Outcome == OutcomeAnswered:
			answered++
		case e.wasKilled(call):
		case call.Outcome == OutcomeNone:
			f.breach(call.Ended, "call %s through %s got no outcome: %s", call.Serial, call.Process, call.Error)
		case call.Outcome == OutcomeAborted && !spoilt:
			f.breach(call.Ended, "call %s through %s was cut off, its target's answer was whole: %s", call.Serial, call.Process, call.Error)
		}
	}
	e.checkJobResults(&f)
	if least := e.leastAnswered(); len(e.Calls) > 0 && float64(answered) < least*float64(len(e.Calls)) {
		f.breach(e.Ended, "%d of %d calls were answered, the trace states a share of %.2f", answered, len(e.Calls), least)
	}
	return f
}

// leastAnswered is the share of calls that the trace requires to be answered.
func (e Evidence) leastAnswered() float64 {
	events := e.Trace.Events
	return events[len(events)-1].Answered
}

// wasKilled reports whether the call's entry host was killed before the call ended.
func (e Evidence) wasKilled(call Call) bool {
	at, ok := e.Killed[call.Process]
	return ok && !call.Ended.Before(at)
}

func (e Evidence) checkJobResults(f *finding) {
	for _, job := range e.Jobs {
		if !job.Accepted {
			continue
		}
		f.look(true)
		switch {
		case !job.Final:
			f.breach(job.Seen, "job %s was accepted and has not ended: %s", job.ID, job.State)
		case job.Wrong != "":
			f.breach(job.Seen, "the result of job %s: %s", job.ID, job.Wrong)
		case job.mustFinish() && job.State != jobFinished:
			f.breach(job.Seen, "job %s can be finished and ended as %s", job.ID, job.State)
		}
	}
}

// mustFinish reports whether nothing but a failure of the system keeps the job from finishing.
func (j JobCall) mustFinish() bool { return j.Idempotent && !j.Doomed && !j.Cancelled }

// checkNotRun requires that no target started a request whose caller was told that it was not run.
func checkNotRun(e Evidence) finding {
	var f finding
	runs := runsBy(e.Records.Runs, runCaller)
	for _, call := range e.Calls {
		if call.Outcome != OutcomeNotRun {
			continue
		}
		f.look(true)
		if ran := runs[call.Serial]; len(ran) > 0 {
			f.breach(call.Ended, "call %s was told not-run by %s and ran on %s", call.Serial, call.Process, ran[0].Host)
		}
	}
	return f
}

// checkAtMostOnce requires one run at most of each request that is not
// idempotent, of each key, and of each job that is not idempotent. No job
// finishes twice.
func checkAtMostOnce(e Evidence) finding {
	var f finding
	byCaller, byKey := runsBy(e.Records.Runs, runCaller), runsBy(e.Records.Runs, runKey)
	arrivals := make(map[string]int)
	for _, call := range e.Calls {
		if call.Key != "" {
			arrivals[call.Key]++
		}
	}
	for key, n := range arrivals {
		ran := byKey[key]
		f.look(n > 1 || disturbed(ran))
		if len(ran) > 1 {
			f.breach(ran[1].Started, "key %s ran %d times, on %s and %s", key, len(ran), ran[0].Host, ran[1].Host)
		}
	}
	for _, call := range e.Calls {
		if call.Key != "" || call.Idempotent {
			continue
		}
		ran := byCaller[call.Serial]
		f.look(disturbed(ran))
		if len(ran) > 1 {
			f.breach(ran[1].Started, "call %s ran %d times, on %s and %s", call.Serial, len(ran), ran[0].Host, ran[1].Host)
		}
	}
	e.checkTasks(&f)
	return f
}

func (e Evidence) checkTasks(f *finding) {
	type count struct{ started, finished int }
	counts := make(map[string]count)
	for _, task := range e.Records.Tasks {
		c := counts[task.Spec.Job]
		c.started++
		if task.State == platform.TaskFinished {
			c.finished++
		}
		counts[task.Spec.Job] = c
		if c.finished > 1 {
			f.breach(task.Ended, "job %s finished %d times", task.Spec.Job, c.finished)
		}
	}
	for _, job := range e.Jobs {
		c := counts[job.ID]
		f.look(c.started != c.finished)
		if !job.Idempotent && c.started > 1 {
			f.breach(job.Seen, "job %s is not idempotent and was started %d times", job.ID, c.started)
		}
	}
}

// leavingGrace is the time after which a leaving target gets no new work.
const leavingGrace = 3 * time.Second

// leaving is a span in which a host must get no new work.
type leaving struct {
	host     host.ID
	from, to time.Time
	why      string
}

// leavings returns the spans in which hosts were drained, or shown as leaving.
func (e Evidence) leavings() []leaving {
	var spans []leaving
	drained := make(map[host.ID]time.Time)
	gone := make(map[host.ID]time.Time)
	for _, change := range e.Records.Changes {
		if change.Kind == standin.ChangeGone {
			gone[change.Host] = change.At
		}
	}
	for _, change := range e.Records.Changes {
		switch change.Kind {
		case standin.ChangeDrained:
			drained[change.Host] = change.At
		case standin.ChangeUndrained:
			spans = append(spans, leaving{change.Host, drained[change.Host], change.At, "drained"})
			delete(drained, change.Host)
		case standin.ChangeLeaving:
			end, ok := gone[change.Host]
			if !ok {
				end = e.Ended
			}
			spans = append(spans, leaving{change.Host, change.At.Add(e.fleet.ListLag), end, "leaving"})
		}
	}
	for id, from := range drained {
		spans = append(spans, leaving{id, from, e.Ended, "drained"})
	}
	return spans
}

// checkLeaving requires that no request or task reaches a host that has been
// drained, or shown as leaving, for longer than the grace. Refused ones count.
func checkLeaving(e Evidence) finding {
	var f finding
	for _, span := range e.leavings() {
		after := span.from.Add(leavingGrace)
		if !after.Before(span.to) {
			continue
		}
		f.look(true)
		for _, run := range e.Records.Runs {
			if run.Host == span.host && run.Started.After(after) && run.Started.Before(span.to) {
				f.breach(run.Started, "host %s, %s since %s, got request %s of %s", span.host, span.why, span.from.Format(clock), run.Request, run.Caller)
			}
		}
		for _, task := range e.Records.Tasks {
			if task.Host == span.host && task.Started.After(after) && task.Started.Before(span.to) {
				f.breach(task.Started, "host %s, %s since %s, got task %s", span.host, span.why, span.from.Format(clock), task.Spec.Task)
			}
		}
	}
	return f
}
