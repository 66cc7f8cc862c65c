package job

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/chart"
)

func testJob(idempotent bool) Job {
	return Job{ID: "lessons-1", State: StateQueued, Spec: Spec{
		Organisation: "kunta", Queue: "kunta/render", Team: "kunta/video", Program: "render",
		Cores: 1, MemoryBytes: gigabyte, Idempotent: idempotent,
	}}
}

func started(is *is.I, j Job) Job {
	next, err := j.WithStart("host-1", 7)
	is.NoErr(err)
	return next
}

func TestJobDropsLateAttempts(t *testing.T) {
	is := is.New(t)
	first := started(is, testJob(true))
	queued, err := first.WithLapse(1, "progress-1", "lapsed")
	is.NoErr(err)
	is.Equal(queued.Checkpoint, "progress-1")
	second := started(is, queued)
	_, err = second.WithFinish(1, "late", "digest")
	var late ErrStaleAttempt
	is.True(errors.As(err, &late))
	is.Equal(late.Newest, 2)
	done, err := second.WithFinish(2, "result", "digest")
	is.NoErr(err)
	is.Equal(done.State, StateFinished)
}

func TestJobThatRunsOnceNeverWaitsAgain(t *testing.T) {
	ends := map[string]func(j Job) (Job, error){
		"lapse":   func(j Job) (Job, error) { return j.WithLapse(1, "progress", "lapsed") },
		"failure": func(j Job) (Job, error) { return j.WithFailure(1, "exit status 1", true) },
	}
	want := map[string]chart.State{"lapse": StateUnknown, "failure": StateFailed}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended, err := end(started(is, testJob(false)))
			is.NoErr(err)
			is.Equal(ended.State, want[name])
			_, err = ended.WithStart("host-2", 7)
			is.True(err != nil)
		})
	}
}

func TestMergeHasOneOutcome(t *testing.T) {
	is := is.New(t)
	running := started(is, testJob(true))
	cancelling, err := running.WithCancel()
	is.NoErr(err)
	finished, err := running.WithFinish(1, "result", "digest")
	is.NoErr(err)
	requeued, err := running.WithRequeue(1, "", "drain")
	is.NoErr(err)
	cancelled, err := testJob(true).WithCancel()
	is.NoErr(err)

	t.Run("a finish that was known first stays finished", func(t *testing.T) {
		merged, ok := Merge(cancelling, finished)
		is.True(ok)
		is.Equal(merged.State, StateFinished)
	})
	t.Run("a cancelled job is not queued again", func(t *testing.T) {
		merged, ok := Merge(cancelling, requeued)
		is.True(ok)
		is.Equal(merged.State, StateCancelled)
	})
	t.Run("a job that was cancelled while it waited does not start", func(t *testing.T) {
		merged, ok := Merge(cancelled, running)
		is.True(!ok)
		is.Equal(merged.State, StateCancelled)
	})
}

func TestReportOfOlderAttemptOnTheSameWorker(t *testing.T) {
	reports := map[string]TaskReport{
		"finish": {Event: AttemptEventFinish, Result: "late", ResultDigest: "digest"},
		"fail":   {Event: AttemptEventFail, Failure: "exit status 1"},
		"stop":   {Event: AttemptEventStopped},
	}
	for name, r := range reports {
		t.Run(name, func(t *testing.T) {
			b := newSimulation(t, 1)
			id := b.submit(1, testSpec("video", "video"))[0]
			b.run(time.Second)
			old := b.s.jobs[id].job.TaskID()
			b.s.handleLapse(b.s.jobs[id].task, "test")
			b.run(time.Second)
			r.TaskID = old
			newest := TaskReport{TaskID: b.s.jobs[id].job.TaskID(), Event: AttemptEventRunning}
			b.s.HandleReports(b.targets[0].Host, []TaskReport{r, newest}, b.now, b.now)
			b.s.HandleReports(b.targets[0].Host, []TaskReport{r, newest}, b.now, b.now)
			b.is.True(len(b.s.TakeNotices()) <= 2)
			j, ok := b.s.Job(id)
			b.is.True(ok)
			b.is.Equal(j.State, StateRunning)
			b.is.Equal(j.Attempt, 2)
		})
	}
}

func TestPausedHolderAsksBeforeItGivesUp(t *testing.T) {
	for name, answers := range map[string]bool{"the worker answers": true, "the worker is silent": false} {
		t.Run(name, func(t *testing.T) {
			b := newSimulation(t, 1)
			spec := testSpec("video", "video")
			spec.Idempotent = false
			id := b.submit(1, spec)[0]
			b.run(4 * time.Second)
			pause := time.Hour
			b.now = b.now.Add(pause)
			b.s.ExpireLeases(b.now)
			want := StateUnknown
			if answers {
				b.step = 10 * time.Second
				b.advanceTasks()
				b.reportTasks()
				want = StateFinished
			} else {
				b.s.HandleNoAnswer(b.targets[0].Host, b.now)
				b.s.ExpireLeases(b.now)
			}
			b.commitRows()
			b.is.Equal(b.ended[id].State, want)
		})
	}
}

func TestTaskThatItsWorkerStopped(t *testing.T) {
	for idempotent, want := range map[bool]chart.State{true: StateQueued, false: StateUnknown} {
		t.Run(string(want), func(t *testing.T) {
			b := newSimulation(t, 1)
			spec := testSpec("video", "video")
			spec.Idempotent = idempotent
			id := b.submit(1, spec)[0]
			b.run(time.Second)
			report := TaskReport{TaskID: b.s.jobs[id].job.TaskID(), Event: AttemptEventStopped, Checkpoint: "progress"}
			b.s.HandleReports(b.targets[0].Host, []TaskReport{report}, b.now, b.now)
			j, _ := b.s.Job(id)
			b.is.Equal(j.State, want)
			b.is.Equal(j.Checkpoint == "progress", idempotent)
		})
	}
}
