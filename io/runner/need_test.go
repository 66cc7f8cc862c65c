package runner_test

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"siskincross/io/platform"
)

// evacuatedWorkers returns the workers that the pool's stored need names as evacuated.
func evacuatedWorkers(rows map[platform.RowKey]platform.VersionedRow) []string {
	var need struct{ Cleared []string }
	if json.Unmarshal(rows[platform.RowKey{Table: "hosts", Partition: fakePool, Key: "need"}].Value, &need) != nil {
		return nil
	}
	return need.Cleared
}

// rosteredWorkers returns the workers on the pool's stored roster.
func rosteredWorkers(rows map[platform.RowKey]platform.VersionedRow) map[string]bool {
	var roster struct{ Lives []struct{ Worker string } }
	names := make(map[string]bool)
	if json.Unmarshal(rows[platform.RowKey{Table: "queue-" + fakePool, Partition: fakePool, Key: "!roster"}].Value, &roster) == nil {
		for _, incarnation := range roster.Lives {
			names[incarnation.Worker] = true
		}
	}
	return names
}

// rosteredWorkers returns the workers on the pool's stored roster.
func (s *fakeSite) rosteredWorkers() map[string]bool {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return rosteredWorkers(s.store.rows)
}

// evacuatedWorkers returns the workers that the pool's stored need names as evacuated.
func (s *fakeSite) evacuatedWorkers() []string {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return evacuatedWorkers(s.store.rows)
}

// evacuatedAfterJob keeps all workers busy for a while. It returns the first workers that are named as evacuated
// again afterwards.
func (s *fakeSite) evacuatedAfterJob(host string) []string {
	s.is.NoErr(s.submit(host, "first", 60))
	for len(s.evacuatedWorkers()) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	for len(s.evacuatedWorkers()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return s.evacuatedWorkers()
}

func TestClearedWorkers(t *testing.T) {
	t.Run("worker that is named as cleared is off the roster, so that a next holder need not wait for it", func(t *testing.T) {
		withMovableSite(t, 3, 6, func(s *fakeSite) {
			named, both := 0, 0
			s.store.setAfterCommit(func(rows map[platform.RowKey]platform.VersionedRow) {
				onRoster := rosteredWorkers(rows)
				for _, id := range evacuatedWorkers(rows) {
					named++
					if onRoster[id] {
						both++
					}
				}
			})
			for range 3 {
				s.is.NoErr(s.submit("e0", time.Now().String(), 60))
				time.Sleep(6 * time.Second)
			}
			s.store.setAfterCommit(nil)
			s.is.True(named > 0)
			s.is.Equal(both, 0)
		})
	})
	// The hosts of spare workers are moved, and the holder is killed at the same moment.
	t.Run("jobs go on at once though hosts were moved just before their holder was lost", func(t *testing.T) {
		withMovableSite(t, 3, 6, func(s *fakeSite) {
			previous := s.poolHolder()
			next := s.otherHost(previous)
			named := s.evacuatedAfterJob(next)
			for _, id := range named {
				s.silenceWorker(id)
			}
			s.kill(previous)
			s.is.NoErr(s.submit(next, "j", 4))
			s.is.True(s.awaitCompleted(next, "j", 20*time.Second) < 4*time.Second)
		})
	})
	// The worker of a moved host answers nothing, and the directory lists it for some more seconds. It came back on the
	// roster meanwhile, so that a next holder waited for the longest lease.
	t.Run("worker whose host was moved stays off the roster until it answers again", func(t *testing.T) {
		withMovableSite(t, 3, 6, func(s *fakeSite) {
			named := s.evacuatedAfterJob("e0")
			for _, id := range named {
				s.workers[id].setSilent(true)
			}
			for range 80 {
				time.Sleep(100 * time.Millisecond)
				onRoster := s.rosteredWorkers()
				for _, id := range named {
					s.is.True(!onRoster[id])
				}
			}
			for _, id := range named {
				s.workers[id].setSilent(false)
			}
			s.is.NoErr(s.submit("e0", "again", 300)) // needs all workers for a while
			back := make(map[string]bool)
			for range 500 {
				time.Sleep(10 * time.Millisecond)
				maps.Copy(back, s.rosteredWorkers())
			}
			for _, id := range named {
				s.is.True(back[id])
			}
		})
	})
	t.Run("next holder starts nothing on the workers that the earlier one named as cleared", func(t *testing.T) {
		withMovableSite(t, 3, 6, func(s *fakeSite) {
			previous := s.poolHolder()
			next := s.otherHost(previous)
			named := s.evacuatedAfterJob(next)
			s.kill(previous)
			time.Sleep(time.Second)
			start := time.Now()
			s.is.NoErr(s.submit(next, "j", 50))
			s.awaitCompleted(next, "j", 20*time.Second)
			for _, id := range named {
				for task, at := range s.workers[id].firstStarts {
					// Orders that follow the earlier need may arrive until two seconds after the next holder replaced it.
					s.is.True(string(task.Job) != "j" || at.Sub(start) > 3*time.Second)
				}
			}
		})
	})
}
