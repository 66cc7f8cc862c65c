package work_test

import (
	"fmt"
	"testing"
	"time"

	"siskincross/core/work"
)

const (
	// benchRound is the time between two rounds of decisions, benchLook that between two reports of a worker.
	benchRound = 4 * time.Millisecond
	benchLook  = 100 * time.Millisecond
	// benchJobs is how many jobs arrive in a second, each of two steps of benchWidth tasks that run for benchTask.
	benchJobs  = 77
	benchWidth = 6
	benchTask  = 800 * time.Millisecond
	// benchWaiting is how many steps wait for a place at most: what a pool has in its turn.
	benchWaiting = 300
)

// turn plays a pool in its turn: jobs arrive, tasks run and end, and every worker reports in turn.
type turn struct {
	board   *work.Scheduler
	now     time.Time
	lives   []work.Incarnation
	running map[work.Incarnation][]benchRun
	ends    map[work.Incarnation][]work.RunEnd
	number  map[work.Incarnation]uint64
	jobs    int
	version uint64
	starts  int
	reports int
	// deciding, reporting and loading are the times that the board's own work took.
	deciding, reporting, loading time.Duration
}

type benchRun struct {
	run  work.RunID
	ends time.Time
}

func newTurn(workers int) *turn {
	l := &turn{
		board: &work.Scheduler{Pool: "p", Epoch: 10, Term: 0}, now: time.Unix(1_700_000_000, 0),
		running: make(map[work.Incarnation][]benchRun), ends: make(map[work.Incarnation][]work.RunEnd), number: make(map[work.Incarnation]uint64), version: 100,
	}
	var listings []work.WorkerInfo
	for i := range workers {
		life := work.Incarnation{Worker: fmt.Sprintf("w%03d", i), StartMillis: 1}
		l.lives = append(l.lives, life)
		listings = append(listings, work.WorkerInfo{
			Incarnation: life, Address: "a", Pool: "p", Rack: fmt.Sprintf("rack-%d", i/12), Labels: []string{"a"},
			Capacity: work.Resources{MilliCores: 32_000, MemoryMB: 131_072},
		})
	}
	l.board.UpdateWorkers(listings, l.now)
	for i := range l.lives {
		l.report(i)
	}
	return l
}

// round plays the time between two rounds of decisions and the decisions after it.
func (l *turn) round(n int) {
	l.now = l.now.Add(benchRound)
	for l.jobs*int(time.Second) < n*int(benchRound)*benchJobs && l.waiting() < benchWaiting {
		l.submit()
	}
	looks := int(benchLook / benchRound)
	for i := n % looks; i < len(l.lives); i += looks {
		l.report(i)
	}
	began := time.Now()
	orders := l.board.Schedule(l.now, l.now)
	l.deciding += time.Since(began)
	began = time.Now()
	l.board.CapacityDemand(l.now)
	l.loading += time.Since(began)
	for _, o := range orders {
		l.starts++
		began = time.Now()
		l.board.HandleResult(o, work.OrderResult{Outcome: work.OutcomeOK, WorkerClock: l.clock()}, l.now)
		l.reporting += time.Since(began)
		l.running[o.Incarnation] = append(l.running[o.Incarnation], benchRun{o.Run, l.now.Add(benchTask)})
	}
	if changes := l.board.BeginCommit(30); len(changes) > 0 {
		l.version++
		l.board.CompleteCommit(changes, l.version)
	}
}

// waiting bounds the jobs that wait for a place by those that have not begun.
func (l *turn) waiting() int {
	n := 0
	for _, waiting := range l.board.PendingJobCounts() {
		n += waiting
	}
	return n
}

func (l *turn) clock() time.Duration { return time.Duration(l.now.UnixNano() - 1_700_000_000e9 + 1) }

func (l *turn) submit() {
	l.jobs++
	step := work.Step{TaskCount: benchWidth, Demand: work.Resources{MilliCores: 4100, MemoryMB: 12_000}, Estimate: benchTask}
	second := step
	second.DependsOn = []int{0}
	j := work.Job{
		ID: work.JobID(fmt.Sprintf("%016x", l.jobs)), Queue: "q", Steps: []work.Step{step, second}, MaxFailedAttempts: 2,
		AcceptedAt: l.now, Objective: work.Objective{Factor: 1, Slack: 600 * time.Millisecond},
	}
	l.version++
	l.board.AddJob(j, work.Progress{}, l.version, false, l.now)
}

// report has a worker answer a renewal.
func (l *turn) report(i int) {
	life := l.lives[i]
	l.reports++
	began := time.Now()
	renewal, _ := l.board.PrepareRenewal(life, time.Second, l.now)
	l.reporting += time.Since(began)
	kept := l.running[life][:0]
	report := work.Report{WorkerClock: l.clock()}
	for _, e := range l.ends[life] {
		if e.Number > renewal.AcknowledgedEnd {
			report.Ends = append(report.Ends, e)
		}
	}
	for _, r := range l.running[life] {
		if l.now.Before(r.ends) {
			kept = append(kept, r)
			report.Active = append(report.Active, work.ActiveRun{Run: r.run, SpeedPercent: 100})
			continue
		}
		l.number[life]++
		report.Ends = append(report.Ends, work.RunEnd{Number: l.number[life], Run: r.run})
	}
	l.running[life], l.ends[life] = kept, report.Ends
	began = time.Now()
	l.board.HandleReport(life, renewal.Sequence, report, l.now)
	l.reporting += time.Since(began)
}

// BenchmarkRounds measures what the decisions about a pool in its turn cost, at a thousand starts a second if its workers have room for as many.
func BenchmarkRounds(b *testing.B) {
	for _, workers := range []int{60, 120, 250} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			l := newTurn(workers)
			warm := int(2 * time.Second / benchRound)
			for n := range warm {
				l.round(n)
			}
			l.starts, l.reports, l.deciding, l.reporting, l.loading = 0, 0, 0, 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				l.round(warm + n)
			}
			b.ReportMetric(float64(l.deciding.Nanoseconds())/float64(b.N), "ns/decision")
			b.ReportMetric(float64(l.loading.Nanoseconds())/float64(b.N), "ns/load")
			b.ReportMetric(float64(l.reporting.Nanoseconds())/float64(max(1, l.reports)), "ns/report")
			b.ReportMetric(float64(l.starts)/float64(b.N)/benchRound.Seconds(), "starts/s")
		})
	}
}
