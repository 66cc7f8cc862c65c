package jobs

import (
	"context"
	"fmt"
	"runtime"
	"sort"
	"strings"
	"testing"
	"time"

	"siskincross/core/config"
	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/core/route"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

const (
	scaleWorkers = 2700
	scaleBacklog = 100_000
	scaleRunning = 16_200
	// scaleJobRate is the number of jobs per second that end on 21,600 slots if each job takes ten minutes.
	scaleJobRate = 21_600.0 / 600
	// storeWrites and storeReads are the rates per second that the table service can handle.
	storeWrites = 300.0
	storeReads  = 2000.0
)

// scaleTable returns the table of a large pool with generated job rows. Other rows are in a stand-in.
func scaleTable(running, queued int) platform.Table {
	rows := make([]platform.Row, 0, running+queued)
	for i := range running + queued {
		j := job.Job{
			ID: job.ID(fmt.Sprintf("lessons-%026d", i)), State: job.StateQueued, CommitID: "caller-00VHNCZB0MS599R25S48CWMWAE",
			AcceptedMillis: int64(946684800000 + i),
			Spec: job.Spec{
				Organisation: "kunta", Queue: "kunta/render", Team: fmt.Sprintf("kunta/team-%03d", i%110), Program: "render --lesson lifting",
				Cores: 4, MemoryBytes: 4 * gigabyte, Idempotent: true, Template: fmt.Sprintf("template-%d", i%12),
			},
		}
		if i < running {
			j.State, j.Attempt, j.Host, j.Epoch = job.StateRunning, 1, testTarget(i%scaleWorkers).Host, 1
		}
		rows = append(rows, platform.Row{Key: jobKey(testPool, j.ID), Version: uint64(i + 1), Value: encodeJSON(j)})
	}
	small := &standin.Table{}
	table := small.Service()
	table.Scan = func(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
		if prefix != jobPrefix+testPool+"/" {
			return nil, nil
		}
		from := sort.Search(len(rows), func(i int) bool { return rows[i].Key > after })
		return rows[from:min(from+limit, len(rows))], nil
	}
	return table
}

func scaleManager(table platform.Table) *Manager {
	var targets []route.Target
	for i := range scaleWorkers {
		targets = append(targets, testTarget(i))
	}
	m := &Manager{
		Platform: platform.Services{Table: table},
		Config:   func() config.Expanded { return config.Expanded{Version: 1} },
		Snapshot: func(string) (route.Snapshot, bool) { return route.Snapshot{Targets: targets}, true },
		MemberID: "a",
	}
	m.init()
	return m
}

// BenchmarkTakeover rebuilds the state of one pool of 2,700 workers from 116,200 rows.
func BenchmarkTakeover(b *testing.B) {
	table := scaleTable(scaleRunning, scaleBacklog)
	m := scaleManager(table)
	for b.Loop() {
		h := newPoolHolder(m, testPool, 1)
		if err := h.rebuildState(b.Context()); err != nil {
			b.Fatal(err)
		}
		if counts := h.scheduler.Counts(); counts.States[job.StateQueued] != scaleBacklog {
			b.Fatalf("%d jobs wait", counts.States[job.StateQueued])
		}
	}
}

// BenchmarkMemory reports the heap memory per waiting job after a takeover.
func BenchmarkMemory(b *testing.B) {
	m := scaleManager(scaleTable(0, scaleBacklog))
	for b.Loop() {
		before := heapBytes()
		h := newPoolHolder(m, testPool, 1)
		if err := h.rebuildState(b.Context()); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(heapBytes()-before)/scaleBacklog, "heap-bytes/job")
		runtime.KeepAlive(h)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestStoreOperations measures the table operations per job from submission to end, for jobs that arrive one
// by one at two entry hosts, and checks them against the rates of the table service.
func TestStoreOperations(t *testing.T) {
	withFixture(t, 20, func(f *fixture) {
		a, stopA := f.startManager("a")
		defer stopA()
		b, stopB := f.startManager("b")
		defer stopB()
		time.Sleep(time.Second)
		before := f.table.Counts()
		begin := time.Now()
		var ids []job.ID
		for i := range 600 {
			ids = append(ids, f.submit([]*Manager{a, b}[i%2], submission(), "").ID)
			time.Sleep(200 * time.Millisecond)
		}
		f.awaitAllFinished(ids, time.Minute)
		after := f.table.Counts()
		jobCount := float64(len(ids))
		writes := float64(after.RowWrites-before.RowWrites) / jobCount
		reads := float64(after.RowReads-before.RowReads-len(ids)) / jobCount
		t.Logf("600 jobs in %v: %.2f commits, %.2f rows written and %.2f read per job; by purpose %v", time.Since(begin),
			float64(after.Commits-before.Commits)/jobCount, writes, reads, writesByPurpose(after, before))
		f.is.True(writes <= storeWrites/scaleJobRate)
		f.is.True(reads <= storeReads/scaleJobRate)
	})
}

func TestEndsAreSeenSoon(t *testing.T) {
	const hosts = 20
	for _, duration := range []time.Duration{10 * time.Second, time.Minute, 10 * time.Minute} {
		t.Run(duration.String(), func(t *testing.T) {
			withFixture(t, hosts, func(f *fixture) {
				f.workers.behave = func(host.ID, platform.TaskSpec) behaviour {
					return behaviour{duration: duration, cores: 1, memory: gigabyte}
				}
				m, stop := f.startManager("a")
				defer stop()
				ids := f.submitMany(m, nonIdempotentSubmission(), 2*hosts)
				time.Sleep(duration)
				latest := time.Duration(0)
				begin := time.Now()
				for _, id := range ids {
					f.awaitState(id, job.StateFinished, duration)
					latest = time.Since(begin)
				}
				f.workers.mu.Lock()
				calls := f.workers.calls - len(ids)
				f.workers.mu.Unlock()
				t.Logf("tasks of %v: %.2f calls per worker and second, ends known after %v", duration,
					float64(calls)/hosts/(duration+latest).Seconds(), latest)
				f.is.True(latest <= duration/10+3*time.Second)
			})
		})
	}
}

func writesByPurpose(after, before standin.TableCounts) string {
	var parts []string
	for purpose, n := range after.RowWritesByPurpose {
		parts = append(parts, fmt.Sprintf("%s %d", purpose, n-before.RowWritesByPurpose[purpose]))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
