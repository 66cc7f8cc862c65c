package runner_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"siskincross/core/work"
)

func TestIntake(t *testing.T) {
	// A transaction of many large jobs takes longer over a small link than small calls need.
	t.Run("large jobs are accepted over a small link", func(t *testing.T) {
		withFakeSite(t, 3, 3, func(s *fakeSite) {
			s.store.narrow(tinyLink)
			var group sync.WaitGroup
			for i := range 60 {
				group.Go(func() {
					j := job(fmt.Sprint("j", i), 1)
					j.Spec = strings.Repeat("x", 4000)
					s.is.NoErr(s.hand("e0", j))
				})
			}
			group.Wait()
		})
	})
	t.Run("job whose row is too large is refused as invalid, and the others are stored", func(t *testing.T) {
		withFakeSite(t, 2, 2, func(s *fakeSite) {
			j := job("large", 1)
			j.Spec = strings.Repeat("x", 50_000)
			var invalid work.ErrInvalid
			s.is.True(errors.As(s.hand("e0", j), &invalid))
			s.is.NoErr(s.submit("e0", "j", 1))
		})
	})
	// Jobs of several callers share a transaction.
	t.Run("job that the store does not take costs no other job", func(t *testing.T) {
		withFakeSite(t, 2, 2, func(s *fakeSite) {
			s.store.mu.Lock()
			s.store.rowLimit = 2000
			s.store.mu.Unlock()
			var group sync.WaitGroup
			for i := range 20 {
				group.Go(func() {
					j := job(fmt.Sprint("j", i), 1)
					if i == 10 {
						j.Spec = strings.Repeat("x", 4000)
					}
					s.is.Equal(s.hand("e0", j) == nil, i != 10)
				})
			}
			group.Wait()
		})
	})
	// The store takes a quarter of a second for a transaction, one after another in a part, and jobs come at every entry host.
	t.Run("jobs are accepted while transactions wait for each other", func(t *testing.T) {
		withFakeSite(t, 6, 3, func(s *fakeSite) {
			s.store.slow(250 * time.Millisecond)
			var group sync.WaitGroup
			var mu sync.Mutex
			accepted := 0
			for i := range 120 {
				group.Go(func() {
					if s.submit(fmt.Sprint("e", i%6), fmt.Sprint("j", i), 1) == nil {
						mu.Lock()
						defer mu.Unlock()
						accepted++
					}
				})
				time.Sleep(25 * time.Millisecond)
			}
			group.Wait()
			s.is.True(accepted >= 60) // pauses vary, 80 to 103 are; without the wait it is one
		})
	})
}
