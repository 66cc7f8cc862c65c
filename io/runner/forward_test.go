package runner_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"siskincross/core/work"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
	"siskincross/io/platform"
)

// withLinkedSite is withFakeSite for entry hosts that are connected.
func withLinkedSite(t *testing.T, hosts, workers int, test func(*fakeSite)) {
	t.Helper()
	playSite(t, fakeSite{peers: newFakePeers()}, hosts, workers, test)
}

// turn hands jobs in at all entry hosts by turns, so many a second, and returns how long those took that were stored and how many were not.
func (s *fakeSite) turn(jobsPerSecond, seconds int) ([]time.Duration, int) {
	s.t.Helper()
	names := make([]string, 0, len(s.hosts))
	for name := range s.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	var mu sync.Mutex
	var took []time.Duration
	var failed []error
	var group sync.WaitGroup
	for i := range jobsPerSecond * seconds {
		group.Go(func() {
			began := time.Now()
			err := s.submit(names[i%len(names)], fmt.Sprintf("%016x", i), 1)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, err)
				return
			}
			took = append(took, time.Since(began))
		})
		time.Sleep(time.Second / time.Duration(jobsPerSecond))
	}
	group.Wait()
	slices.Sort(took)
	s.t.Logf("%d jobs stored, %d not: %v", len(took), len(failed), errors.Join(failed[:min(3, len(failed))]...))
	s.t.Logf("half within %s, 95 of 100 within %s, the last %s", took[len(took)/2], took[len(took)*95/100], took[len(took)-1])
	return took, len(failed)
}

// TestTurnOfAccepts guards against a pool whose jobs are limited by the transactions of its part of the store: in its turn it is asked for
// twice as many jobs a second as the part takes transactions, at many entry hosts of which each has few.
func TestTurnOfAccepts(t *testing.T) {
	const (
		transaction   = 5 * time.Millisecond
		jobsPerSecond = 400
	)
	withLinkedSite(t, 48, 6, func(s *fakeSite) {
		s.store.slow(transaction)
		time.Sleep(5 * time.Second)
		took, failed := s.turn(jobsPerSecond, 4)
		s.is.Equal(failed, 0)
		s.store.mu.Lock()
		t.Logf("%d transactions for %d jobs", s.store.commits, len(took))
		s.store.mu.Unlock()
		s.is.True(took[len(took)/2] < 40*time.Millisecond)
		s.is.True(took[len(took)*95/100] < 250*time.Millisecond)
	})
}

// rowsOf counts the stored jobs with an ID.
func (s *fakeSite) rowsOf(id string) int {
	return len(s.store.find(platform.Range{Table: "job", Part: fakePool, From: id, Until: id + "!"}).Rows)
}

func TestHandIn(t *testing.T) {
	t.Run("job is stored by the holder and done once", func(t *testing.T) {
		withLinkedSite(t, 3, 2, func(s *fakeSite) {
			holder := s.holder()
			s.is.NoErr(s.submit(s.other(holder), "j", 4))
			s.is.Equal(s.peers.callsOf(holder), 1)
			s.completed("e0", "j", 5*time.Second)
			s.assertOnce("j")
		})
	})
	t.Run("job of which the holder's answer is lost is stored once and its caller told so", func(t *testing.T) {
		withLinkedSite(t, 3, 2, func(s *fakeSite) {
			holder := s.holder()
			s.peers.set(s.peers.muteFor, holder)
			began := time.Now()
			s.is.NoErr(s.submit(s.other(holder), "j", 4))
			s.is.True(time.Since(began) < 600*time.Millisecond)
			s.completed("e0", "j", 5*time.Second)
			s.is.Equal(s.rowsOf("j"), 1)
			s.assertOnce("j")
		})
	})
	t.Run("holder that stands still delays the first job alone", func(t *testing.T) {
		withLinkedSite(t, 3, 2, func(s *fakeSite) {
			holder := s.holder()
			entry := s.other(holder)
			s.peers.set(s.peers.frozen, holder)
			s.is.NoErr(s.submit(entry, "j", 1))
			began := time.Now()
			s.is.NoErr(s.submit(entry, "k", 1))
			s.is.True(time.Since(began) < 50*time.Millisecond)
		})
	})
	t.Run("holder that the store does not answer leaves jobs to the others", func(t *testing.T) {
		withLinkedSite(t, 3, 2, func(s *fakeSite) {
			holder := s.holder()
			entry := s.other(holder)
			s.store.silence(holder, true)
			time.Sleep(1500 * time.Millisecond)
			began := time.Now()
			s.is.NoErr(s.submit(entry, "j", 1))
			s.is.True(time.Since(began) < 50*time.Millisecond)
		})
	})
	// Transactions take a quarter of a second, one after another in a part, and jobs come at all entry hosts.
	t.Run("holder that waits for a slow store is waited for", func(t *testing.T) {
		withLinkedSite(t, 24, 3, func(s *fakeSite) {
			s.store.slow(250 * time.Millisecond)
			took, failed := s.turn(40, 4)
			s.is.Equal(failed, 0)
			s.is.True(took[len(took)*95/100] < 2*time.Second)
		})
	})
	t.Run("killed holder costs no job, and the next one takes them", func(t *testing.T) {
		withLinkedSite(t, 3, 2, func(s *fakeSite) {
			holder := s.holder()
			entry := s.other(holder)
			s.kill(holder)
			s.peers.set(s.peers.frozen, holder) // its host is down: nothing resets the connection
			for i := range 40 {
				s.is.NoErr(s.submit(entry, fmt.Sprintf("j%02d", i), 1))
				time.Sleep(100 * time.Millisecond)
			}
			s.completed(entry, "j39", 10*time.Second)
			for i := range 40 {
				s.assertOnce(fmt.Sprintf("j%02d", i))
			}
		})
	})
	// The next holder treats a job as one that nobody else can have started if it was stored after it took the duty.
	t.Run("holder that was replaced and does not know it starts no job that it stores", func(t *testing.T) {
		withLinkedSite(t, 3, 2, func(s *fakeSite) {
			holder := s.holder()
			s.is.NoErr(s.submit(holder, "i", 1)) // what the feed tells is fresh
			time.Sleep(100 * time.Millisecond)
			s.store.withhold(holder, "queue-"+fakePool)
			s.store.mu.Lock()
			s.store.answers = 60 * time.Millisecond // longer than an order is on its way
			s.store.mu.Unlock()
			s.store.put(platform.RowKey{Table: "queue-" + fakePool, Part: fakePool, Key: "!fence"}, "another member's")
			s.is.NoErr(s.submit(s.other(holder), "j", 4))
			s.is.NoErr(s.submit(holder, "k", 4))
			time.Sleep(500 * time.Millisecond)
			s.is.Equal(s.rowsOf("j")+s.rowsOf("k"), 2)
			s.is.Equal(s.startsAfter("j", time.Time{})+s.startsAfter("k", time.Time{}), 0)
		})
	})
	t.Run("member without the duty refuses and stores nothing", func(t *testing.T) {
		withLinkedSite(t, 3, 2, func(s *fakeSite) {
			_, err := s.handInTo(s.other(s.holder()), &peerpb.HandIn{Pool: fakePool, Jobs: []*peerpb.HandedJob{{Id: "j", Row: []byte("{}")}}})
			var refused peer.ErrRefused
			s.is.True(errors.As(err, &refused))
			s.is.Equal(s.rowsOf("j"), 0)
		})
	})
	for field, message := range map[string]*peerpb.HandIn{
		"jobs:":     {Pool: fakePool},
		"jobs.id:":  {Pool: fakePool, Jobs: []*peerpb.HandedJob{{Id: "!fence", Row: []byte("{}")}}},
		"jobs.row:": {Pool: fakePool, Jobs: []*peerpb.HandedJob{{Id: "j", Row: []byte("[")}}},
	} {
		t.Run("hand-in that can't be used is refused with its field "+field, func(t *testing.T) {
			withLinkedSite(t, 2, 1, func(s *fakeSite) {
				_, err := s.handInTo(s.holder(), message)
				s.is.True(err != nil && strings.Contains(err.Error(), field))
				s.is.NoErr(s.submit("e0", "k", 1))
			})
		})
	}
}

// handInTo sends a hand-in to an entry host.
func (s *fakeSite) handInTo(name string, message *peerpb.HandIn) (*peerpb.Envelope, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return s.peers.call(ctx, "test", s.hosts[name].manager.Member, &peerpb.Envelope{Body: &peerpb.Envelope_HandIn{HandIn: message}})
}

// assertOnce checks that no task of a job ended as done twice.
func (s *fakeSite) assertOnce(id string) {
	s.t.Helper()
	for _, w := range s.workers {
		w.mu.Lock()
		for task, times := range w.done {
			if task.Job == work.ID(id) && times > 1 {
				s.t.Errorf("%v was done %d times on %s", task, times, w.listing.Life.Worker)
			}
		}
		w.mu.Unlock()
	}
}
