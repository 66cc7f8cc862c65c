package jobs

import (
	"errors"
	"testing"
	"time"

	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/io/platform"
)

func TestJobRuns(t *testing.T) {
	t.Run("from submission to a whole result", func(t *testing.T) {
		withFixture(t, 3, func(f *fixture) {
			m, stop := f.startManager("a")
			defer stop()
			j := f.submit(m, submission(), "")
			f.awaitState(j.ID, job.StateFinished, 20*time.Second)
			content, _, err := m.result(f.ctx, "kunta", j.ID)
			f.is.NoErr(err)
			f.is.Equal(string(content), "result of "+string(j.ID))
			f.is.Equal(f.workers.startCount(j.ID), 1)
		})
	})
	t.Run("a damaged result is not passed on", func(t *testing.T) {
		withFixture(t, 1, func(f *fixture) {
			m, stop := f.startManager("a")
			defer stop()
			j := f.submit(m, submission(), "")
			done := f.awaitState(j.ID, job.StateFinished, 20*time.Second)
			f.workers.update(func() { f.workers.objects[done.Result] = []byte("result of") })
			_, _, err := m.result(f.ctx, "kunta", j.ID)
			f.is.True(errors.As(err, &ErrDigestMismatch{}))
		})
	})
	t.Run("submitted elsewhere than at the holder", func(t *testing.T) {
		withFixture(t, 1, func(f *fixture) {
			_, stopA := f.startManager("a")
			defer stopA()
			b, stopB := f.startManager("b")
			defer stopB()
			j := f.submit(b, submission(), "")
			f.awaitRunning(j.ID, time.Second)
		})
	})
}

func TestSubmitIsIdempotentByKey(t *testing.T) {
	withFixture(t, 1, func(f *fixture) {
		a, stopA := f.startManager("a")
		defer stopA()
		b, stopB := f.startManager("b")
		defer stopB()
		first := f.submit(a, submission(), "order-1")
		again := f.submit(b, submission(), "order-1")
		f.is.Equal(first.ID, again.ID)
		other := submission()
		other.Program = "another"
		_, err := b.submit(f.ctx, "kunta", other, "order-1")
		f.is.True(errors.As(err, &ErrKeyReused{}))
		f.awaitState(first.ID, job.StateFinished, 20*time.Second)
		f.is.Equal(f.workers.startCount(first.ID), 1)
	})
}

func TestKeyHoldsWhenTheQueueMoves(t *testing.T) {
	withFixture(t, 1, func(f *fixture) {
		m, stop := f.startManager("a")
		defer stop()
		first := f.submit(m, submission(), "order-1")
		f.update(func() { f.queuePool = "kunta/spare" })
		again := f.submit(m, submission(), "order-1")
		f.is.Equal(first.ID, again.ID)
	})
}

func TestSubmitTellsTheOutcome(t *testing.T) {
	cases := []struct {
		name   string
		faults func(f *fixture)
		check  func(f *fixture, j job.Job, err error)
	}{
		{"the answer of the commit is lost", func(f *fixture) { f.loseCommits(1, 0) }, func(f *fixture, j job.Job, err error) {
			f.is.NoErr(err)
			f.is.Equal(f.row(j.ID).State, job.StateQueued)
		}},
		{"the commit itself is lost", func(f *fixture) { f.loseCommits(0, 1) }, func(f *fixture, j job.Job, err error) {
			f.is.NoErr(err)
			f.is.Equal(f.row(j.ID).State, job.StateQueued)
		}},
		{"the table is down", func(f *fixture) { f.setStoreDown(true) }, func(f *fixture, _ job.Job, err error) {
			f.is.True(errors.As(err, &platform.ErrUnavailable{}))
		}},
		{"all commits are lost", func(f *fixture) { f.loseCommits(0, 100) }, func(f *fixture, _ job.Job, err error) {
			f.is.True(errors.As(err, &platform.ErrOutcomeUnknown{}))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFixture(t, 1, func(f *fixture) {
				m, stop := f.startManager("b")
				defer stop()
				c.faults(f)
				j, err := m.submit(f.ctx, "kunta", submission(), "")
				c.check(f, j, err)
			})
		})
	}
}

func (f *fixture) loseCommits(answers, commits int) {
	faults := f.table.Faults()
	faults.LoseAnswers, faults.LoseCommits = answers, commits
	f.table.SetFaults(faults)
}

func (f *fixture) setStoreDown(down bool) {
	faults := f.table.Faults()
	faults.Down = down
	f.table.SetFaults(faults)
}

func TestTimelineNamesCauses(t *testing.T) {
	withFixture(t, 2, func(f *fixture) {
		f.workers.behave = longTask
		m, stop := f.startManager("a")
		defer stop()
		id := f.submit(m, submission(), "").ID
		f.awaitRunning(id, time.Second)
		f.update(func() { f.draining = []host.ID{f.row(id).Host} })
		f.awaitState(id, job.StateFinished, 15*time.Minute)
		var numbers []event.Number
		var last event.ID
		for _, e := range m.Recorder.Events() {
			if e.Job != string(id) || e.Number == event.JobAccepted {
				continue
			}
			f.is.Equal(e.Cause, last)
			f.is.Equal(e.Organisation, "kunta")
			last = e.ID
			numbers = append(numbers, e.Number)
		}
		want := []event.Number{event.JobStarted, event.JobLeaving, event.JobRequeued, event.JobStarted, event.JobFinished}
		f.is.Equal(numbers, want)
	})
}
