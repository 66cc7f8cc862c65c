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

// behaviour is how a simulated task behaves.
type behaviour struct {
	duration time.Duration
	fails    bool
	// poison is true if the job fails on every worker.
	poison bool
	cores  float64
	memory int64
	// rampUp is the time in which the memory usage grows to its full size.
	rampUp time.Duration
	// ignoresCheckpoint is true if the task ignores the command to checkpoint.
	ignoresCheckpoint bool
}

type simulatedTask struct {
	job       Job
	behaviour behaviour
	start     time.Time
	// workDone is the completed part of the duration. checkpointed is true once a checkpoint was saved.
	workDone     time.Duration
	checkpointed bool
	share        float64
	state        string
}

// simulation runs a scheduler with simulated workers in virtual time.
type simulation struct {
	t   *testing.T
	is  *is.I
	s   *Scheduler
	now time.Time
	// step is the time between two rounds.
	step      time.Duration
	targets   []route.Target
	tasks     map[host.ID]map[string]*simulatedTask
	behaviour func(h host.ID, j Job) behaviour
	// refusedJobs holds the jobs that every worker refuses. refusedStarts counts their start commands.
	refusedJobs   map[ID]bool
	refusedStarts int
	killed        int
	stops         int
	// commands counts the commands that running tasks received, by action.
	commands map[Action]int
	serial   int
	ended    map[ID]Job
	waits    []time.Duration
	// workerFailures counts the failed tasks of jobs without poison, by worker.
	workerFailures map[host.ID]int
	usage          usageTotals
	notices        map[NoticeKind][]Notice
	submittedAt    map[ID]time.Time
}

// usageTotals sums up the used cores and the capacity over all rounds.
type usageTotals struct {
	cores, capacity float64
}

const reportInterval = 2 * time.Second

func newSimulation(t *testing.T, workers int) *simulation {
	t.Helper()
	b := &simulation{
		t: t, is: is.New(t), s: &Scheduler{Pool: "kunta/lessons", Epoch: 1}, now: time.UnixMilli(0), step: 500 * time.Millisecond,
		tasks: make(map[host.ID]map[string]*simulatedTask), ended: make(map[ID]Job), workerFailures: make(map[host.ID]int),
		notices: make(map[NoticeKind][]Notice), commands: make(map[Action]int), submittedAt: make(map[ID]time.Time),
	}
	b.behaviour = func(host.ID, Job) behaviour { return behaviour{duration: 10 * time.Second, cores: 1, memory: gigabyte} }
	for i := range workers {
		id := host.ID(fmt.Sprintf("host-%04d", i))
		b.tasks[id] = make(map[string]*simulatedTask)
		b.targets = append(b.targets, route.Target{
			Host: id, Place: host.Place{Zone: fmt.Sprintf("zone-%d", i%3), Rack: fmt.Sprintf("rack-%d", i/4)},
			Capacity: host.Capacity{Slots: 8, Connections: 64, Cores: 32, MemoryBytes: 64 * gigabyte},
		})
	}
	b.s.SetWorkers(b.targets, b.now)
	return b
}

// submit adds n queued jobs as if their rows were accepted now.
func (b *simulation) submit(n int, spec Spec) []ID {
	ids := make([]ID, n)
	for i := range ids {
		b.serial++
		ids[i] = ID(fmt.Sprintf("lessons-%08d", b.serial))
		b.submittedAt[ids[i]] = b.now
		b.s.LoadJob(Job{ID: ids[i], Spec: spec, State: StateQueued, AcceptedMillis: b.now.UnixMilli(), CommitID: "caller-1", Version: 1}, b.now)
	}
	return ids
}

func testSpec(team, template string) Spec {
	return Spec{
		Organisation: "kunta", Queue: "kunta/render", Team: "kunta/" + team, Program: "render",
		Template: template, Cores: 1, MemoryBytes: gigabyte, Idempotent: true,
	}
}

// run advances the simulation by d.
func (b *simulation) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.runRound()
	}
}

func (b *simulation) runRound() {
	b.now = b.now.Add(b.step)
	b.advanceTasks()
	if b.now.UnixMilli()%reportInterval.Milliseconds() == 0 {
		b.reportTasks()
	}
	b.s.ExpireLeases(b.now)
	b.s.PlaceJobs(b.now, 1000)
	b.executeCommands(b.s.TakeCommands(b.now))
	b.commitRows()
	for _, n := range b.s.TakeNotices() {
		b.notices[n.Kind] = append(b.notices[n.Kind], n)
	}
}

// commitRows commits all pending rows and starts the tasks that they allow.
func (b *simulation) commitRows() {
	for rows := b.s.PendingWrites(100); len(rows) > 0; rows = b.s.PendingWrites(100) {
		for _, row := range rows {
			if IsFinal(row.State) || row.State == StateParked {
				b.ended[row.ID] = row
			}
		}
		for _, l := range b.s.HandleCommitted(rows) {
			if b.refusedJobs[l.Job.ID] {
				b.refusedStarts++
				b.s.HandleStartOutcome(l.Job.ID, l.Job.Attempt, StartRefused, "unknown program", b.now)
				continue
			}
			b.tasks[l.Host][l.Job.TaskID()] = &simulatedTask{job: l.Job, behaviour: b.behaviour(l.Host, l.Job), start: b.now, share: 1, state: "running"}
			if l.Job.Attempt == 1 {
				b.waits = append(b.waits, b.now.Sub(b.submittedAt[l.Job.ID]))
			}
			b.s.HandleStartOutcome(l.Job.ID, l.Job.Attempt, StartAccepted, "", b.now)
		}
	}
}

func (b *simulation) executeCommands(commands []Command) {
	for _, c := range commands {
		t := b.tasks[c.Host][c.TaskID]
		if t == nil || t.state != "running" {
			continue
		}
		b.commands[c.Action]++
		switch c.Action {
		case ActionThrottle:
			t.share = c.Share
		case ActionCheckpoint:
			t.checkpointed = !t.behaviour.ignoresCheckpoint
		case ActionStop:
			t.state = "stopped"
			b.stops++
		}
	}
}

// reportLag is the delay of the workers' usage reports.
const reportLag = 4 * time.Second

// memory returns the present memory usage of a task.
func (t *simulatedTask) memory() int64 {
	return t.memoryAfter(t.workDone)
}

// reportedMemory returns the memory usage that the worker reports for a task.
func (t *simulatedTask) reportedMemory() int64 {
	return t.memoryAfter(t.workDone - time.Duration(float64(reportLag)*t.share))
}

func (t *simulatedTask) memoryAfter(work time.Duration) int64 {
	if t.behaviour.rampUp > 0 && work < t.behaviour.rampUp {
		return int64(float64(t.behaviour.memory) * float64(max(0, work)) / float64(t.behaviour.rampUp))
	}
	return t.behaviour.memory
}

// advanceTasks advances all tasks by one step. A worker that exceeds its memory kills its largest task.
func (b *simulation) advanceTasks() {
	for _, target := range b.targets {
		var cores float64
		var memory int64
		var largest *simulatedTask
		for _, name := range slices.Sorted(maps.Keys(b.tasks[target.Host])) {
			t := b.tasks[target.Host][name]
			if t.state != "running" {
				continue
			}
			cores += t.behaviour.cores * t.share
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
		b.advanceHost(target.Host, speed)
	}
}

func (b *simulation) advanceHost(h host.ID, speed float64) {
	for _, t := range b.tasks[h] {
		if t.state != "running" {
			continue
		}
		t.workDone += time.Duration(float64(b.step) * speed * t.share)
		switch {
		case t.workDone < t.behaviour.duration:
		case t.behaviour.fails:
			t.state = "failed"
			if !t.behaviour.poison {
				b.workerFailures[h]++
			}
		default:
			t.state = "finished"
		}
	}
}

func (b *simulation) reportTasks() {
	for _, target := range b.targets {
		var reports []TaskReport
		for _, name := range slices.Sorted(maps.Keys(b.tasks[target.Host])) {
			t := b.tasks[target.Host][name]
			r := TaskReport{TaskID: name, Event: AttemptEventRunning, UsedCores: t.behaviour.cores * t.share, UsedMemoryBytes: t.reportedMemory()}
			if t.checkpointed {
				r.Checkpoint = "checkpoint-" + name
			}
			switch t.state {
			case "finished":
				r.Event, r.Result, r.ResultDigest = AttemptEventFinish, "result-"+name, "digest"
			case "failed":
				r.Event, r.Failure = AttemptEventFail, "exit status 1"
			case "stopped":
				r.Event = AttemptEventStopped
			}
			if t.state != "running" {
				delete(b.tasks[target.Host], name)
			}
			reports = append(reports, r)
		}
		b.s.HandleReports(target.Host, reports, b.now, b.now)
	}
}

// count returns the number of ended jobs in a state.
func (b *simulation) count(ids []ID, state string) int {
	n := 0
	for _, id := range ids {
		if string(b.ended[id].State) == state {
			n++
		}
	}
	return n
}
