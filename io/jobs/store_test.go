package jobs

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"siskincross/core/host"
	"siskincross/core/job"
	"siskincross/io/platform"
)

func TestLostAnswersRepeatNothing(t *testing.T) {
	withFixture(t, 8, func(f *fixture) {
		m, stop := f.manager("a")
		defer stop()
		var ids []job.ID
		for i := range 30 {
			f.lose(i%3, (i+1)%2)
			ids = append(ids, f.submit(m, once(), "").ID)
			time.Sleep(300 * time.Millisecond)
		}
		f.awaitAll(ids, time.Minute)
		f.assertOnce(ids)
	})
}

func TestLostStartAnswers(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %v", idempotent), func(t *testing.T) {
			withFixture(t, 4, func(f *fixture) {
				m, stop := f.manager("a")
				defer stop()
				f.workers.set(func() { f.workers.loseStarts = 3 })
				s := submission()
				s.Idempotent = idempotent
				ids := f.submitMany(m, s, 3)
				f.awaitAll(ids, time.Minute)
				if !idempotent {
					f.assertOnce(ids)
				}
			})
		})
	}
}

// delayCommits makes some commits take effect only after their outcome was told as unknown.
func delayCommits(f *fixture, every int, delay time.Duration) platform.Table {
	service := f.table.Service()
	commit := service.Commit
	var n atomic.Int64
	service.Commit = func(ctx context.Context, tx platform.Transaction) error {
		if n.Add(1)%int64(every) != 0 {
			return commit(ctx, tx)
		}
		time.AfterFunc(delay, func() { _ = commit(context.WithoutCancel(ctx), tx) })
		return platform.ErrOutcomeUnknown{Service: "table", Reason: "slow"}
	}
	return service
}

func TestCommitsThatTakeEffectLate(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			withFixture(t, 8, func(f *fixture) {
				f.service = delayCommits(f, 2, delay)
				m, stop := f.manager("a")
				defer stop()
				var ids []job.ID
				for i := range 30 {
					s := once()
					s.Idempotent = i%2 == 0
					ids = append(ids, f.submit(m, s, "").ID)
					time.Sleep(200 * time.Millisecond)
				}
				f.cancelAll(ids[:5], m)
				for _, id := range ids[5:] {
					f.await(id, job.StateFinished, time.Minute)
				}
				f.assertOnce(ids)
				time.Sleep(10 * time.Second)
				for _, id := range ids {
					f.is.True(job.IsFinal(f.row(id).State))
				}
			})
		})
	}
}

func TestStoreDownForMinutes(t *testing.T) {
	t.Run("tasks go on, ends are committed after", func(t *testing.T) {
		withFixture(t, 8, func(f *fixture) {
			f.workers.behave = func(host.ID, platform.TaskSpec) behaviour {
				return behaviour{duration: time.Minute, cores: 1, memory: gigabyte}
			}
			m, stop := f.manager("a")
			defer stop()
			ids := f.submitMany(m, once(), 12)
			for _, id := range ids {
				f.awaitRunning(id, 2*time.Second)
			}
			f.down(true)
			time.Sleep(3 * time.Minute)
			for _, id := range ids {
				f.is.Equal(f.row(id).State, job.StateRunning)
			}
			before := f.table.Counts()
			f.down(false)
			f.awaitAll(ids, 3*time.Second)
			f.assertOnce(ids)
			after := f.table.Counts()
			f.is.True(after.Commits-before.Commits <= 3)
		})
	})
	t.Run("the holder is lost meanwhile", func(t *testing.T) {
		withFixture(t, 4, func(f *fixture) {
			f.workers.behave = func(host.ID, platform.TaskSpec) behaviour {
				return behaviour{duration: 20 * time.Second, cores: 1, memory: gigabyte}
			}
			a, crash := f.manager("a")
			_, stop := f.manager("b")
			defer stop()
			ids := f.submitMany(a, once(), 4)
			for _, id := range ids {
				f.awaitRunning(id, 2*time.Second)
			}
			f.down(true)
			time.Sleep(25 * time.Second)
			crash()
			f.hold("b")
			time.Sleep(2 * time.Minute)
			f.down(false)
			f.awaitAll(ids, 10*time.Second)
			f.assertOnce(ids)
		})
	})
}

// lateCommits makes every other commit answer unknown, and take effect only after the next read.
func lateCommits(f *fixture) platform.Table {
	service := f.table.Service()
	commit, read := service.Commit, service.Read
	var mu sync.Mutex
	var late []platform.Transaction
	n := 0
	service.Commit = func(ctx context.Context, tx platform.Transaction) error {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n%2 == 0 {
			return commit(ctx, tx)
		}
		late = append(late, tx)
		return platform.ErrOutcomeUnknown{Service: "table", Reason: "slow"}
	}
	service.Read = func(ctx context.Context, keys []string) ([]platform.Row, error) {
		mu.Lock()
		defer mu.Unlock()
		rows, err := read(ctx, keys)
		for _, tx := range late {
			_ = commit(ctx, tx)
		}
		late = nil
		return rows, err
	}
	return service
}

func TestCommitsThatTakeEffectAfterTheReadBack(t *testing.T) {
	withFixture(t, 8, func(f *fixture) {
		f.service = lateCommits(f)
		m, stop := f.manager("a")
		defer stop()
		ids := f.submitMany(m, once(), 30)
		f.awaitAll(ids, 2*time.Minute)
		f.assertOnce(ids)
	})
}
