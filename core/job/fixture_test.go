package job

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
	"siskincross/core/route"
)

const gigabyte = 1 << 30

// truth is what a task really does.
type truth struct {
	duration time.Duration
	fails    bool
	// poison is whether the job fails on every worker.
	poison bool
	cores  float64
	memory int64
	// rampUp is how long the memory grows to its full size.
	rampUp time.Duration
	// unsaved tasks ignore the command to checkpoint.
	unsaved bool
}

type benchTask struct {
	job   Job
	truth truth
	start time.Time
	// work is how much of the duration is done; saved is what a checkpoint kept.
	work  time.Duration
	saved bool
	share float64
	state string
}

// bench drives a scheduler with a few lines of worker, in time that it counts itself.
type bench struct {
	t   *testing.T
	is  *is.I
	s   *Scheduler
	now time.Time
	// step is the time between two rounds; every pollRounds rounds the workers report.
	step    time.Duration
	targets []route.Target
	tasks   map[host.ID]map[string]*benchTask
	truth   func(h host.ID, j Job) truth
	// refuses holds the jobs that every worker refuses; refused counts their starts.
	refuses map[ID]bool
	refused int
	killed  int
	stops   int
	// commands counts what the workers were told.
	commands map[Action]int
	serial   int
	ended    map[ID]Job
	waits    []time.Duration
	// failed counts the tasks of good jobs that failed by worker.
	failed  map[host.ID]int
	usage   benchUsage
	seen    map[NoticeKind][]Notice
	arrived map[ID]time.Time
}

// benchUsage sums what workers use over time.
type benchUsage struct {
	cores, capacity float64
}

const benchPoll = 2 * time.Second

func newBench(t *testing.T, workers int) *bench {
	t.Helper()
	b := &bench{
		t: t, is: is.New(t), s: &Scheduler{Pool: "kunta/lessons", Epoch: 1}, now: time.UnixMilli(0), step: 500 * time.Millisecond,
		tasks: make(map[host.ID]map[string]*benchTask), ended: make(map[ID]Job), failed: make(map[host.ID]int),
		seen: make(map[NoticeKind][]Notice), commands: make(map[Action]int), arrived: make(map[ID]time.Time),
	}
	b.truth = func(host.ID, Job) truth { return truth{duration: 10 * time.Second, cores: 1, memory: gigabyte} }
	for i := range workers {
		id := host.ID(fmt.Sprintf("host-%04d", i))
		b.tasks[id] = make(map[string]*benchTask)
		b.targets = append(b.targets, route.Target{
			Host: id, Place: host.Place{Zone: fmt.Sprintf("zone-%d", i%3), Rack: fmt.Sprintf("rack-%d", i/4)},
			Capacity: host.Capacity{Slots: 8, Connections: 64, Cores: 32, MemoryBytes: 64 * gigabyte},
		})
	}
	b.s.SetWorkers(b.targets, b.now)
	return b
}

// submit adds jobs as rows that were accepted now.
func (b *bench) submit(n int, spec Spec) []ID {
	ids := make([]ID, n)
	for i := range ids {
		b.serial++
		ids[i] = ID(fmt.Sprintf("lessons-%08d", b.serial))
		b.arrived[ids[i]] = b.now
		b.s.Put(Job{ID: ids[i], Spec: spec, State: StateQueued, AcceptedMillis: b.now.UnixMilli(), Commit: "caller-1", Version: 1}, b.now)
	}
	return ids
}

func benchSpec(team, template string) Spec {
	return Spec{
		Organisation: "kunta", Queue: "kunta/render", Team: "kunta/" + team, Program: "render",
		Template: template, Cores: 1, MemoryBytes: gigabyte, Idempotent: true,
	}
}

// run drives the scheduler for a while.
func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.round()
	}
}

func (b *bench) round() {
	b.now = b.now.Add(b.step)
	b.work()
	if b.now.UnixMilli()%benchPoll.Milliseconds() == 0 {
		b.report()
	}
	b.s.Lapse(b.now)
	b.s.Place(b.now, 1000)
	b.carryOut(b.s.Commands(b.now))
	b.commit()
	for _, n := range b.s.Notices() {
		b.seen[n.Kind] = append(b.seen[n.Kind], n)
	}
}

// commit writes all pending rows and starts what they allow.
func (b *bench) commit() {
	for rows := b.s.Pending(100); len(rows) > 0; rows = b.s.Pending(100) {
		for _, row := range rows {
			if Final(row.State) || row.State == StateParked {
				b.ended[row.ID] = row
			}
		}
		for _, l := range b.s.Committed(rows) {
			if b.refuses[l.Job.ID] {
				b.refused++
				b.s.Started(l.Job.ID, l.Job.Attempt, StartRefused, "unknown program", b.now)
				continue
			}
			b.tasks[l.Host][l.Job.Task()] = &benchTask{job: l.Job, truth: b.truth(l.Host, l.Job), start: b.now, share: 1, state: "running"}
			if l.Job.Attempt == 1 {
				b.waits = append(b.waits, b.now.Sub(b.arrived[l.Job.ID]))
			}
			b.s.Started(l.Job.ID, l.Job.Attempt, StartAccepted, "", b.now)
		}
	}
}

func (b *bench) carryOut(commands []Command) {
	for _, c := range commands {
		t := b.tasks[c.Host][c.Task]
		if t == nil || t.state != "running" {
			continue
		}
		b.commands[c.Action]++
		switch c.Action {
		case ActionThrottle:
			t.share = c.Share
		case ActionCheckpoint:
			t.saved = !t.truth.unsaved
		case ActionStop:
			t.state = "stopped"
			b.stops++
		}
	}
}

// benchLag is how late workers report usage.
const benchLag = 4 * time.Second

// memory is what a task uses now.
func (t *benchTask) memory() int64 {
	return t.memoryAfter(t.work)
}

// reported is what the worker reports as a task's memory.
func (t *benchTask) reported() int64 {
	return t.memoryAfter(t.work - time.Duration(float64(benchLag)*t.share))
}

func (t *benchTask) memoryAfter(work time.Duration) int64 {
	if t.truth.rampUp > 0 && work < t.truth.rampUp {
		return int64(float64(t.truth.memory) * float64(max(0, work)) / float64(t.truth.rampUp))
	}
	return t.truth.memory
}

// work moves all tasks on. A worker over its memory kills its largest task.
func (b *bench) work() {
	for _, target := range b.targets {
		var cores float64
		var memory int64
		var largest *benchTask
		for _, name := range slices.Sorted(maps.Keys(b.tasks[target.Host])) {
			t := b.tasks[target.Host][name]
			if t.state != "running" {
				continue
			}
			cores += t.truth.cores * t.share
			memory += t.memory()
			larger := largest == nil || t.memory() > largest.memory()
			if larger || t.memory() == largest.memory() && t.job.ID < largest.job.ID {
				largest = t
			}
		}
		speed := min(1, float64(target.Capacity.Cores)/max(cores, 1))
		b.usage.cores += min(cores, float64(target.Capacity.Cores))
		b.usage.capacity += float64(target.Capacity.Cores)
		if memory > target.Capacity.MemoryBytes {
			largest.state = "failed"
			b.killed++
		}
		b.advance(target.Host, speed)
	}
}

func (b *bench) advance(h host.ID, speed float64) {
	for _, t := range b.tasks[h] {
		if t.state != "running" {
			continue
		}
		t.work += time.Duration(float64(b.step) * speed * t.share)
		switch {
		case t.work < t.truth.duration:
		case t.truth.fails:
			t.state = "failed"
			if !t.truth.poison {
				b.failed[h]++
			}
		default:
			t.state = "finished"
		}
	}
}

func (b *bench) report() {
	for _, target := range b.targets {
		var reports []Report
		for _, name := range slices.Sorted(maps.Keys(b.tasks[target.Host])) {
			t := b.tasks[target.Host][name]
			r := Report{Task: name, Event: AttemptSeen, UsedCores: t.truth.cores * t.share, UsedMemory: t.reported()}
			if t.saved {
				r.Checkpoint = "checkpoint-" + name
			}
			switch t.state {
			case "finished":
				r.Event, r.Result, r.ResultDigest = AttemptFinish, "result-"+name, "digest"
			case "failed":
				r.Event, r.Failure = AttemptFail, "exit status 1"
			case "stopped":
				r.Event = AttemptEnd
			}
			if t.state != "running" {
				delete(b.tasks[target.Host], name)
			}
			reports = append(reports, r)
		}
		b.s.Report(target.Host, reports, b.now, b.now)
	}
}

// count returns how many ended jobs have a state.
func (b *bench) count(ids []ID, state string) int {
	n := 0
	for _, id := range ids {
		if string(b.ended[id].State) == state {
			n++
		}
	}
	return n
}
