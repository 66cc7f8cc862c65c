package work_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskincross/core/work"
)

const (
	// contactTime is the time without a disturbance after which a worker that is lost is the system's fault.
	contactTime = 3 * time.Second
	// noticeTime is the time after which a task counts as away whatever the cause.
	noticeTime = 4500 * time.Millisecond
	// modelRestoreTime is the time until a long-running task is at work in the model of evacuations.
	modelRestoreTime = 250 * time.Millisecond
	// maxHoldUp is the longest time for which an order or the answer to a renewal waits in a holder that is short of processor time.
	maxHoldUp = 2 * time.Second
)

// taskLoss is the end of the last run of a long-running task that was at work.
type taskLoss struct {
	at    time.Time
	cause string
	// bySystem is true if an order ended the run, or if its lease lapsed without a disturbance.
	bySystem bool
}

// unreadReport is the answer to a renewal that its scheduler reads at readAt. The worker answers at answeredAt.
type unreadReport struct {
	scheduler          *modelScheduler
	renewal            work.Renewal
	answeredAt, readAt time.Time
	report             work.Report
	answered           bool
}

// unsentOrder is an order that waits in a holder that is short of processor time until sentAt.
type unsentOrder struct {
	scheduler *modelScheduler
	order     work.Order
	sentAt    time.Time
}

// disturb records that something goes wrong between a scheduler and the worker.
func (m *model) disturb(w *modelWorker) { w.disturbedAt = m.now }

// isCalmAt reports whether the worker can be reached and nothing has gone wrong with it lately.
func (m *model) isCalmAt(w *modelWorker) bool {
	return w.reachable && m.now.Sub(w.disturbedAt) >= contactTime && m.now.Sub(m.takenOverAt) >= contactTime
}

// stopRun ends a run on an order. Late tells that the order was delayed.
func (m *model) stopRun(w *modelWorker, run *modelRun, o work.Order, late bool) {
	if !late {
		m.checkToleratedLoss(w, run, o)
	}
	m.endRun(w, run, work.EndReasonStopped)
	m.recordLoss(run, "an order", !late)
}

// recordLoss records that a run has ended that a task needs as long as its job is not cancelled. A run that was not at work is
// no loss.
func (m *model) recordLoss(run *modelRun, cause string, bySystem bool) {
	if m.step(run.run.Task).LongRunning && m.isAtWork(run) {
		m.oracle.losses[run.run.Task] = taskLoss{at: m.now, cause: cause, bySystem: bySystem}
	}
}

func (m *model) isAtWork(run *modelRun) bool { return m.now.Sub(run.startedAt) >= m.restoreTime }

func (m *model) step(t work.TaskID) work.Step { return m.jobs[t.Job].job.Steps[t.Step] }

// checkToleratedLoss checks that a step can do without a task that is stopped for an evacuation.
func (m *model) checkToleratedLoss(w *modelWorker, run *modelRun, o work.Order) {
	step := m.step(run.run.Task)
	if !step.LongRunning || !m.isAtWork(run) || m.hasEnded(run.run.Task.Job, o.Epoch) || w.draining || !strings.HasPrefix(o.Reason, "evacuation") {
		return
	}
	tolerated := 1
	if step.HasMaxUnavailable {
		tolerated = step.MaxUnavailable
	}
	var away []string
	for i := range step.TaskCount {
		t := run.run.Task
		t.Index = i
		if cause := m.whyAway(t); cause != "" && t != run.run.Task {
			away = append(away, fmt.Sprintf("%s: %s", t, cause))
		}
	}
	if len(away) >= tolerated {
		m.t.Fatalf("%s on %v is stopped by epoch %d (%s) while %d others of its step are away and %d may be: %s", run.run, w.incarnation, o.Epoch, o.Reason,
			len(away), tolerated, strings.Join(away, ", "))
	}
}

// hasEnded reports whether the job was cancelled, or was given up by the holder with this epoch, which may not have stored that yet.
func (m *model) hasEnded(id work.JobID, epoch uint64) bool {
	if m.jobs[id].progress.State.IsFinal() {
		return true
	}
	for _, sched := range m.schedulers {
		if _, holds := sched.JobState(id); sched.Epoch == epoch && !holds {
			return true
		}
	}
	return false
}

// whyAway returns why a long-running task counts as away, or an empty string if it doesn't.
func (m *model) whyAway(t work.TaskID) string {
	for _, w := range m.workers {
		for _, run := range w.runs {
			if w.alive && run.run.Task == t && m.isAtWork(run) {
				return ""
			}
		}
	}
	loss, lost := m.oracle.losses[t]
	if !lost {
		loss = taskLoss{at: m.jobs[t.Job].submittedAt, cause: "never at work"}
	}
	if duration := m.now.Sub(loss.at); loss.bySystem || duration >= noticeTime {
		return fmt.Sprintf("%s, %s ago", loss.cause, duration)
	}
	return ""
}

// drawEven draws a number from 0 to n-1. Other than with rapid.IntRange, small ones are hardly more likely.
func drawEven(t *rapid.T, n int, label string) int {
	v, length := 0, bits.Len(uint(n-1))+1
	for range length {
		v *= 2
		if rapid.Bool().Draw(t, label) {
			v++
		}
	}
	return v * n >> length
}

// drawTime draws a duration below max.
func drawTime(t *rapid.T, maxTime time.Duration, label string) time.Duration {
	return time.Duration(drawEven(t, int(maxTime/time.Millisecond), label)) * time.Millisecond
}

// renewLate simulates a renewal that the worker answers at once or holds back, and whose answer the scheduler reads later.
func (m *model) renewLate(t *rapid.T, sched *modelScheduler, inc work.Incarnation) {
	if m.isRenewing(sched, inc) {
		return
	}
	renewal, ok := sched.PrepareRenewal(inc, time.Second, m.now)
	if !ok || !m.applyRenewal(sched, renewal) {
		return
	}
	var answer time.Duration
	if renewal.MaxWait > 0 && rapid.Bool().Draw(t, "holds back") {
		answer = drawTime(t, renewal.MaxWait, "held back")
	}
	delay := drawTime(t, maxHoldUp, "read after")
	m.unreadReports = append(m.unreadReports, &unreadReport{scheduler: sched, renewal: renewal, answeredAt: m.now.Add(answer), readAt: m.now.Add(answer + delay)})
	m.log("epoch %d renews %v until %s, answered in %s, read %s later", renewal.Epoch, inc, renewal.LeaseDeadline, answer, delay)
	m.readReports()
}

// holdUpOrder has an order wait in a holder for a while, and returns true, if the holder is short of processor time. Starts don't wait:
// what they need is checked when they are decided.
func (m *model) holdUpOrder(sched *modelScheduler, o work.Order) bool {
	if !m.holdsUpOrders || o.Kind != work.OrderStop || drawEven(m.t, 4, "held up") > 0 {
		return false
	}
	m.unsentOrders = append(m.unsentOrders, unsentOrder{scheduler: sched, order: o, sentAt: m.now.Add(drawTime(m.t, maxHoldUp, "sent after"))})
	return true
}

// sendHeldUpOrders sends the orders that have waited for long enough.
func (m *model) sendHeldUpOrders() {
	orders := m.unsentOrders
	m.unsentOrders = nil
	for _, u := range orders {
		switch {
		case u.scheduler.stopped:
		case u.sentAt.After(m.now):
			m.unsentOrders = append(m.unsentOrders, u)
		default:
			m.sendConfirmedOrder(u.scheduler, u.order)
		}
	}
}

// sendConfirmedOrder sends an order if its scheduler still wants it.
func (m *model) sendConfirmedOrder(sched *modelScheduler, o work.Order) {
	if !sched.ConfirmOrder(o, m.now) {
		m.log("epoch %d withdraws %s %s", o.Epoch, o.Kind, o.Run)
		return
	}
	m.sendOrder(sched, o)
}

// isRenewing reports whether a renewal of the incarnation has no answer yet. A scheduler has one at a time.
func (m *model) isRenewing(sched *modelScheduler, inc work.Incarnation) bool {
	return slices.ContainsFunc(m.unreadReports, func(u *unreadReport) bool { return u.scheduler == sched && u.renewal.Incarnation == inc })
}

// nextAnswer returns the time of the next answer of a worker up to this time, or this time if there is none.
func (m *model) nextAnswer(until time.Time) time.Time {
	for _, u := range m.unreadReports {
		if !u.answered && u.answeredAt.Before(until) {
			until = u.answeredAt
		}
	}
	return until
}

// readReports has the workers answer that do so now, and the schedulers read the answers that are due.
func (m *model) readReports() {
	var due []*unreadReport
	m.unreadReports = slices.DeleteFunc(m.unreadReports, func(u *unreadReport) bool {
		if !u.answered && !u.answeredAt.After(m.now) {
			u.answered = true
			if w := m.workerByID(u.renewal.Incarnation.Worker); w.alive && w.reachable && w.incarnation == u.renewal.Incarnation {
				u.report = m.report(w)
			}
		}
		if u.readAt.After(m.now) {
			return false
		}
		due = append(due, u)
		return true
	})
	slices.SortStableFunc(due, func(a, b *unreadReport) int { return a.readAt.Compare(b.readAt) })
	for _, u := range due {
		inc := u.renewal.Incarnation
		switch {
		case u.scheduler.stopped:
		case u.report.WorkerClock == 0:
			u.scheduler.HandleMissedRenewal(inc, m.now)
		default:
			m.log("epoch %d reads a report of %v: %d active %v", u.renewal.Epoch, inc, len(u.report.Active), u.report.Active)
			u.scheduler.HandleReport(inc, u.renewal.Sequence, u.report, m.now)
		}
	}
}

// report returns what the worker reports now.
func (m *model) report(w *modelWorker) work.Report {
	m.endDueRuns(w)
	report := work.Report{WorkerClock: w.readClock(m.now), Ends: slices.Clone(w.ends)}
	for _, run := range slices.SortedFunc(maps.Values(w.runs), func(a, b *modelRun) int { return cmp.Compare(a.run.String(), b.run.String()) }) {
		active := work.ActiveRun{Run: run.run}
		if m.isAtWork(run) {
			active.SpeedPercent = 100
		}
		report.Active = append(report.Active, active)
	}
	return report
}

// submitLongRunningJob submits a job of some long-running tasks, of which a few may be away.
func (m *model) submitLongRunningJob() {
	step := work.Step{
		TaskCount: rapid.IntRange(4, 6).Draw(m.t, "tasks"), Demand: work.Resources{MilliCores: 1000, MemoryMB: 10}, LongRunning: true,
		HasMaxUnavailable: true, MaxUnavailable: rapid.IntRange(1, 2).Draw(m.t, "tolerated"),
	}
	m.submit(work.Job{MaxFailedAttempts: 2, Steps: []work.Step{step}})
}

// busyRound simulates a short period of a holder that is short of processor time: some renewals are never sent, and some answers are
// read late.
func (m *model) busyRound(t *rapid.T) {
	sched := m.schedulers[len(m.schedulers)-1]
	m.runRound(sched)
	m.advance(drawTime(t, time.Second, "time"))
	for _, inc := range sched.IncarnationsToRenew() {
		switch drawEven(t, 4, "renewal") {
		case 0:
		case 1:
			m.renewLate(t, sched, inc)
		default:
			m.renewLeases(sched, inc, !m.calm && rapid.IntRange(0, 9).Draw(t, "lost") == 0)
		}
	}
	m.commitChanges(sched)
}

// neglectWorkers simulates a period in which the newest holder rarely renews the leases of some workers, so that they lapse now and
// then. After a while it evacuates workers.
func (m *model) neglectWorkers(t *rapid.T) {
	sched, neglected := m.schedulers[len(m.schedulers)-1], make(map[string]bool)
	clear(sched.withdrawing)
	for range 2 {
		neglected[m.drawWorker().incarnation.Worker] = true
	}
	begin := m.now.Add(drawTime(t, 5*time.Second, "evacuates after"))
	for end := begin.Add(drawTime(t, 3*time.Second, "evacuates for")); m.now.Before(end); {
		if !m.now.Before(begin) && drawEven(t, 3, "withdraws") == 0 {
			m.withdrawWorker(t)
		}
		m.runRound(sched)
		m.advance(drawTime(t, 500*time.Millisecond, "time"))
		for _, inc := range sched.IncarnationsToRenew() {
			switch renewal := drawEven(t, 16, "renewal"); {
			case renewal == 0:
				m.renewLate(t, sched, inc)
			case renewal == 1 || !neglected[inc.Worker]:
				m.renewLeases(sched, inc, false)
			}
		}
	}
}

// withdrawWorker has the newest holder evacuate one worker, and no other one.
func (m *model) withdrawWorker(*rapid.T) {
	sched := m.schedulers[len(m.schedulers)-1]
	clear(sched.withdrawing)
	sched.withdrawing[m.drawWorker().incarnation.Worker] = true
}

// evacuationActions returns the actions of a pool whose workers are evacuated time and again. Calm pools have no disturbances.
func (m *model) evacuationActions() map[string]func(*rapid.T) {
	all, chosen := m.actions(), make(map[string]func(*rapid.T))
	names := []string{"", "round1", "round2", "step", "withdraw"}
	if !m.calm {
		names = append(names, "answer", "replace", "reboot", "silence", "drain")
	}
	for _, name := range names {
		chosen[name] = all[name]
	}
	for _, name := range []string{"busy1", "busy2", "busy3", "busy4"} {
		chosen[name] = m.busyRound
	}
	for _, name := range []string{"neglect1", "neglect2", "neglect3", "neglect4"} {
		chosen[name] = m.neglectWorkers
	}
	for _, name := range []string{"withdraw1", "withdraw2"} {
		chosen[name] = m.withdrawWorker
	}
	chosen["submit"] = func(*rapid.T) {
		if len(m.jobs) < 2 {
			m.submitLongRunningJob()
		}
	}
	return chosen
}

// TestInterleavingsOfEvacuations runs random interleavings in which workers with long-running tasks are evacuated by holders that
// are short of processor time.
func TestInterleavingsOfEvacuations(t *testing.T) {
	limitChecks(t, "150") // cases are long
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.restoreTime, m.holdsUpOrders = modelRestoreTime, true
		m.calm = rapid.Bool().Draw(t, "calm")
		m.submitLongRunningJob()
		t.Repeat(m.evacuationActions())
	})
}
