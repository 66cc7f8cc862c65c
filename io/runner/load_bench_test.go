package runner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/work"
	"siskincross/io/platform"
)

const (
	// benchJobs is the number of jobs per second, benchTasksPerJob the number of tasks of each, and benchTaskTime the
	// duration of a task.
	benchJobs        = 77
	benchTasksPerJob = 13
	benchTaskTime    = 800 * time.Millisecond
	// benchAnswerTime is the latency of a worker's answers.
	benchAnswerTime = time.Millisecond
	// benchHistory is the number of changes that the store keeps.
	benchHistory = 500
	// benchWarmupSeconds is the number of seconds of load before the measurement. Spare workers are used again in
	// that time.
	benchWarmupSeconds = 5
	// benchStartupTime is the time from the start to the first load. The duty is taken over in that time.
	benchStartupTime = 10 * time.Second
)

// benchWorker is a worker that uses almost no processor time: its runs end by timers, and renewals block until a run
// ends.
type benchWorker struct {
	fakeWorker
	ended chan struct{}
}

// renew returns at the first end of a run, or after the renewal's maximum wait.
func (w *benchWorker) renew(ctx context.Context, r work.Renewal) (work.Report, error) {
	time.Sleep(benchAnswerTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.ends) > 0 && w.ends[0].Number <= r.AcknowledgedEnd {
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && r.MaxWait > 0 {
		ended := w.ended
		w.mu.Unlock()
		timer := time.NewTimer(r.MaxWait)
		select {
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		w.mu.Lock()
	}
	report := work.Report{WorkerClock: w.clock(), Ends: append([]work.RunEnd(nil), w.ends...)}
	for run := range w.runs {
		report.Active = append(report.Active, work.ActiveRun{Run: run, SpeedPercent: 100})
	}
	return report, nil
}

func (w *benchWorker) send(o work.Order) work.OrderResult {
	time.Sleep(benchAnswerTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Kind == work.OrderStart {
		w.runs[o.Run] = time.Time{}
		time.AfterFunc(benchTaskTime, func() { w.end(o.Run) })
	}
	return work.OrderResult{WorkerClock: w.clock()}
}

func (w *benchWorker) end(run work.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.runs, run)
	w.lastEndNumber++
	w.ends = append(w.ends, work.RunEnd{Number: w.lastEndNumber, Run: run})
	close(w.ended)
	w.ended = make(chan struct{})
}

// benchSite is an entry host that holds the duty of a busy pool, in real time.
type benchSite struct {
	site    *fakeSite
	workers map[string]*benchWorker
	// starts and renewals count the calls to workers.
	starts, renewals atomic.Int64
}

// newBenchSite starts the entry host and the workers, which have 32 cores each.
func newBenchSite(b *testing.B, workers int) *benchSite {
	s := &benchSite{
		site:    &fakeSite{is: is.New(b), store: newFakeStore(), entryHosts: make(map[string]*fakeHost), movableHosts: true},
		workers: make(map[string]*benchWorker),
	}
	s.site.store.setAfterCommit(func(map[platform.RowKey]platform.VersionedRow) {
		if h := s.site.store.history; len(h) > 2*benchHistory {
			s.site.store.history = append([]platform.VersionedRow(nil), h[len(h)-benchHistory:]...)
		}
	})
	s.site.store.put(platform.RowKey{Table: fakeOperatorsTable, Key: "config"}, 1)
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		w := &benchWorker{ended: make(chan struct{})}
		w.startedAt, w.runs = time.Now(), make(map[work.RunID]time.Time)
		w.listing = work.WorkerInfo{
			Incarnation: work.Incarnation{Worker: id, StartMillis: time.Now().UnixMilli()}, Address: id, Pool: fakePool, Rack: fmt.Sprintf("rack-%d", i/12),
			Capacity: work.Resources{MilliCores: 32_000, MemoryMB: 131_072},
		}
		s.workers[id] = w
		s.site.store.put(platform.RowKey{Table: "workers", Key: id}, w.listing)
	}
	s.site.executors = platform.Executors{
		RenewLeases: func(ctx context.Context, r work.Renewal) (work.Report, error) {
			s.renewals.Add(1)
			return s.workers[r.Incarnation.Worker].renew(ctx, r)
		},
		SendOrder: func(_ context.Context, o work.Order) work.OrderResult {
			if o.Kind == work.OrderStart {
				s.starts.Add(1)
			}
			return s.workers[o.Incarnation.Worker].send(o)
		},
	}
	s.site.start("e0")
	return s
}

// processorTime returns the processor time that this process has used.
func processorTime(is *is.I) time.Duration {
	var usage syscall.Rusage
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHolder measures the processor time of the holder of a busy pool without the cost of network calls. One
// operation is a second of load.
func BenchmarkHolder(b *testing.B) {
	for _, workers := range []int{60, 120, 250} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			s := newBenchSite(b, workers)
			defer s.site.kill("e0")
			time.Sleep(benchStartupTime)
			is := is.New(b)
			jobNumber := 0
			runLoad := func(seconds int) {
				ticker := time.NewTicker(time.Second / benchJobs)
				defer ticker.Stop()
				for range seconds * benchJobs {
					<-ticker.C
					jobNumber++
					is.NoErr(s.site.submit("e0", fmt.Sprintf("%016x", jobNumber), benchTasksPerJob))
				}
			}
			runLoad(benchWarmupSeconds)
			starts, renewals := s.starts.Load(), s.renewals.Load()
			start := processorTime(is)
			b.ResetTimer()
			runLoad(b.N)
			used := processorTime(is) - start
			b.ReportMetric(float64(used.Milliseconds())/float64(b.N), "cpu-ms/s")
			b.ReportMetric(float64(s.starts.Load()-starts)/float64(b.N), "starts/s")
			b.ReportMetric(float64(s.renewals.Load()-renewals)/float64(b.N), "renewals/s")
		})
	}
}
