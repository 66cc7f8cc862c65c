package runner_test

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskincross/core/work"
	"siskincross/io/platform"
)

// fakeWorker is a worker whose tasks all run for taskTime.
type fakeWorker struct {
	mu            sync.Mutex
	listing       work.WorkerInfo
	startedAt     time.Time
	highestToken  uint64
	deadline      time.Duration
	runs          map[work.RunID]time.Time
	ends          []work.RunEnd
	lastEndNumber uint64
	// cursor is the highest number that a renewal acknowledged. Ends up to it are forgotten, also those that come later.
	cursor          uint64
	highestAttempts map[work.TaskID]int
	// taskTime is how long a task runs; zero means the constant of that name.
	taskTime time.Duration
	// silent is true while the worker answers nothing.
	silent bool
	// firstStarts holds when each task was first started, and done how often each was completed.
	firstStarts map[work.TaskID]time.Time
	completions map[work.TaskID]int
	// lastStarts holds when each task was last started. doneAt holds when each run was done, and noted those of which the end was
	// acknowledged.
	lastStarts map[work.TaskID]time.Time
	doneAt     map[work.RunID]time.Time
	noted      map[work.RunID]bool
	// latestLease is the latest lease deadline of a renewal sent to the worker, and leaseSentAt when it was sent first.
	latestLease time.Duration
	leaseSentAt time.Time
	// renewals counts the renewals sent to the worker's address.
	renewals atomic.Int64
}

// taskTime is how long a task runs.
const taskTime = 300 * time.Millisecond

// clock returns the time since the start of the worker.
func (w *fakeWorker) clock() time.Duration { return time.Since(w.startedAt) }

// settleRuns ends the runs that are complete or whose lease has lapsed. The caller holds the lock.
func (w *fakeWorker) settleRuns() {
	for run, until := range w.runs {
		how := work.EndReasonDone
		switch {
		case w.clock() > w.deadline:
			how = work.EndReasonLapsed
		case time.Now().Before(until):
			continue
		}
		if how == work.EndReasonDone {
			w.completions[run.Task]++
			w.doneAt[run] = time.Now()
		}
		delete(w.runs, run)
		w.highestAttempts[run.Task] = max(w.highestAttempts[run.Task], run.Attempt)
		w.lastEndNumber++
		w.ends = append(w.ends, work.RunEnd{Number: w.lastEndNumber, Run: run, Reason: how})
	}
	w.forgetEnds()
}

// forgetEnds forgets the ends up to the cursor. The caller holds the lock.
func (w *fakeWorker) forgetEnds() {
	w.ends = slices.DeleteFunc(w.ends, func(e work.RunEnd) bool {
		if e.Number <= w.cursor {
			w.noted[e.Run] = true
		}
		return e.Number <= w.cursor
	})
}

// fakeMaxLease is the longest lease that a worker grants.
const fakeMaxLease = 6 * time.Second

// restart ends the worker's incarnation and starts the next one, which knows nothing of the former one.
func (w *fakeWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt = time.Now()
	w.listing.Incarnation.StartMillis = w.startedAt.UnixMilli()
	w.highestToken, w.deadline, w.ends, w.lastEndNumber, w.cursor = 0, 0, nil, 0, 0
	w.runs, w.highestAttempts = make(map[work.RunID]time.Time), make(map[work.TaskID]int)
}

// incarnation returns the incarnation that answers now.
func (w *fakeWorker) incarnation() work.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listing.Incarnation
}

var errNoAnswer = errors.New("no answer")

// renewLeases answers a renewal as a worker does, as soon as a run has ended or after the renewal's maximum wait.
func (s *fakeSite) renewLeases(ctx context.Context, r work.Renewal) (work.Report, error) {
	w := s.worker(r.Address)
	w.renewals.Add(1)
	w.recordLease(r.LeaseDeadline)
	if err := w.travel(ctx, answerTime); err != nil {
		return work.Report{}, err
	}
	actual := w.incarnation()
	if actual.Worker != r.Incarnation.Worker {
		return work.Report{}, platform.ErrWrongIncarnation{Worker: r.Incarnation.Worker}
	}
	w.applyRenewal(r)
	if actual != r.Incarnation { // only the answer tells, and the renewal is carried out
		return work.Report{}, platform.ErrWrongIncarnation{Worker: r.Incarnation.Worker, Actual: actual.StartMillis}
	}
	for end := time.Now().Add(r.MaxWait); time.Now().Before(end); {
		w.mu.Lock()
		w.settleRuns()
		ended := len(w.ends) > 0 && w.ends[len(w.ends)-1].Number > r.AcknowledgedEnd
		w.mu.Unlock()
		if ended {
			break
		}
		if err := w.travel(ctx, 10*time.Millisecond); err != nil {
			return work.Report{}, err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.FencingToken() < w.highestToken {
		return work.Report{}, platform.ErrStaleEpoch{Host: r.Incarnation.Worker, Epoch: r.Epoch}
	}
	if actual != w.listing.Incarnation {
		return work.Report{}, errNoAnswer // it has ended meanwhile
	}
	w.settleRuns()
	report := work.Report{WorkerClock: w.clock(), Ends: slices.Clone(w.ends[:min(len(w.ends), work.MaxEndsPerReport)])}
	for run := range w.runs {
		report.Active = append(report.Active, work.ActiveRun{Run: run, SpeedPercent: 100})
	}
	return report, nil
}

// recordLease records that a renewal with a lease deadline is sent to the worker.
func (w *fakeWorker) recordLease(deadline time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if deadline > w.latestLease {
		w.latestLease, w.leaseSentAt = deadline, time.Now()
	}
}

// applyRenewal extends the lease of the runs and forgets ends when a renewal arrives, before its answer waits for an end.
func (w *fakeWorker) applyRenewal(r work.Renewal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.FencingToken() < w.highestToken {
		return
	}
	w.settleRuns() // a run whose lease has lapsed stays so
	w.highestToken = r.FencingToken()
	w.deadline = max(w.deadline, min(r.LeaseDeadline, w.clock()+fakeMaxLease))
	w.cursor = max(w.cursor, r.AcknowledgedEnd)
	w.forgetEnds()
}

// travel waits for the latency of a call to a worker. A silent worker doesn't answer before the call times out.
func (w *fakeWorker) travel(ctx context.Context, d time.Duration) error {
	w.mu.Lock()
	silent := w.silent
	w.mu.Unlock()
	if silent {
		d = time.Second
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	if silent {
		return errNoAnswer
	}
	return nil
}

// sendOrder carries out an order as a worker does.
func (s *fakeSite) sendOrder(ctx context.Context, o work.Order) work.OrderResult {
	w := s.worker(o.Incarnation.Worker)
	if w.travel(ctx, answerTime) != nil {
		return work.OrderResult{Outcome: work.OutcomeUnknown}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FencingToken() < w.highestToken {
		return work.OrderResult{Outcome: work.OutcomeFenced, WorkerClock: w.clock()}
	}
	w.highestToken = o.FencingToken()
	w.settleRuns()
	switch {
	case o.Kind == work.OrderStop:
		if _, on := w.runs[o.Run]; on {
			delete(w.runs, o.Run)
			w.lastEndNumber++
			w.ends = append(w.ends, work.RunEnd{Number: w.lastEndNumber, Run: o.Run, Reason: work.EndReasonStopped})
		}
	case o.Run.Attempt <= w.highestAttempts[o.Run.Task]:
		return work.OrderResult{Outcome: work.OutcomeOld, WorkerClock: w.clock()}
	default:
		w.deadline = max(w.deadline, o.LeaseDeadline)
		w.runs[o.Run] = time.Now().Add(cmp.Or(w.taskTime, taskTime))
		w.lastStarts[o.Run.Task] = time.Now()
		if _, known := w.firstStarts[o.Run.Task]; !known {
			w.firstStarts[o.Run.Task] = time.Now()
		}
	}
	return work.OrderResult{WorkerClock: w.clock()}
}

// setSilent sets whether a worker answers nothing.
func (w *fakeWorker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// silenceWorker makes a worker answer nothing more and removes it from the directory.
func (s *fakeSite) silenceWorker(id string) {
	s.workers[id].setSilent(true)
	_, err := s.store.commit(platform.RowTransaction{Deletes: []platform.RowKey{{Table: "workers", Key: id}}})
	s.is.NoErr(err)
}
