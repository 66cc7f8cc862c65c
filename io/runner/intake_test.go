package runner_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

func TestIntake(t *testing.T) {
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
