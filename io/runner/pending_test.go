package runner_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// waiting returns how many jobs wait, as an entry host tells.
func (s *fakeSite) waiting(host string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	n, err := s.hosts[host].manager.Pending(ctx, s.queue())
	s.is.NoErr(err)
	return n
}

func TestPending(t *testing.T) {
	// Jobs wait because no worker answers.
	submitSix := func(s *fakeSite, host string) {
		for i := range 6 {
			s.is.NoErr(s.submit(host, fmt.Sprint("j", i), 1))
		}
	}
	t.Run("every entry host tells how many jobs wait", func(t *testing.T) {
		withFakeSite(t, 3, 1, func(s *fakeSite) {
			s.darken("w0")
			time.Sleep(time.Second)
			submitSix(s, "e0")
			time.Sleep(2 * time.Second)
			for _, host := range []string{"e0", "e1", "e2"} {
				s.is.Equal(s.waiting(host), 6)
			}
		})
	})
	// Every entry host is asked twice a second about a pool that has nothing to do, whose holder writes no counts.
	t.Run("count that is too old is made anew by one entry host for all", func(t *testing.T) {
		counted := &census{}
		playSite(t, fakeSite{census: counted, apart: startsApart}, manyHosts, 1, func(s *fakeSite) {
			counted.reset()
			for range 20 {
				for _, host := range s.names() {
					s.is.Equal(s.waiting(host), 0)
				}
			}
			// Two readings and a write by at most two at once, every two seconds.
			s.is.True(counted.calls("pending") > 800)
			rounds := int(time.Duration(counted.calls("pending"))*answerTime/(2*time.Second)) + 1
			s.is.True(counted.calls("count") <= 6*rounds)
		})
	})
	// The holder is lost, and the next one waits for the lapse of its membership.
	t.Run("count is not older than two seconds while nobody holds the duty", func(t *testing.T) {
		withFakeSite(t, 3, 1, func(s *fakeSite) {
			s.darken("w0")
			lost := s.holder()
			s.kill(lost)
			submitSix(s, s.other(lost))
			time.Sleep(2050 * time.Millisecond)
			s.is.Equal(s.holder(), lost)
			s.is.Equal(s.waiting(s.other(lost)), 6)
		})
	})
	// The holder is cut off from the store after others have stored jobs, and does not know of it yet.
	t.Run("holder that hears nothing of new jobs does not count without them", func(t *testing.T) {
		withFakeSite(t, 3, 1, func(s *fakeSite) {
			s.darken("w0")
			holder := s.holder()
			s.store.silence(holder, true)
			submitSix(s, s.other(holder))
			time.Sleep(5 * time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			n, err := s.hosts[holder].manager.Pending(ctx, s.queue())
			s.is.True(err != nil || n == 6)
		})
	})
}
