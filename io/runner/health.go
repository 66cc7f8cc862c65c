package runner

import (
	"context"
	"sync"
	"time"
)

const (
	// awayFailures is how many calls in a row must fail before a part of the store counts as away:
	// single lost answers come also while it serves.
	awayFailures = 3
	// silentAfter is how long calls may stay without any answer before a part of the store counts as away: longer than
	// its answers take when it is slow, and far shorter than callers wait.
	silentAfter = 700 * time.Millisecond
	// doubtAfter is how long calls may stay without an answer before the part is asked for a row: transactions of a part that is
	// slow wait for each other, while a row is read at once.
	doubtAfter = 300 * time.Millisecond
	// healthEvery is the time between two looks at calls that are not answered.
	healthEvery = 100 * time.Millisecond
	// probeEvery is the time between two calls that ask a part that is away whether it is back.
	probeEvery = 250 * time.Millisecond
	// crowdedTime is how long a part is probed after a transaction was refused because too many waited.
	crowdedTime = time.Second
	// sameAnswer is by how much a call may have begun before one that is answered and still be believed to be on its way.
	sameAnswer = 100 * time.Millisecond
	// everyPart stands for calls that concern rows of all parts.
	everyPart = "*"
)

// storeHealth judges the store by our own calls, each part by itself: a store may serve some parts and not others.
// The zero value holds all parts to be there.
type storeHealth struct {
	mu    sync.Mutex
	parts map[string]*partHealth
	// open holds the calls on their way.
	open map[*storeCall]bool
	// answered is when a call of any part was answered last.
	answered time.Time
}

// partHealth is what calls told of one part.
type partHealth struct {
	failures int
	// unanswered counts the transactions without an answer since the last one with.
	unanswered int
	// failing is when the first of these calls began.
	failing  time.Time
	answered time.Time
	probed   time.Time
	// crowded is when a transaction was last refused because too many waited.
	crowded time.Time
	// away is the judgement that was told last.
	away bool
}

// storeCall is one call on its way.
type storeCall struct {
	part  string
	began time.Time
	// waits is true for calls that the store holds back until there is something to tell.
	waits  bool
	cancel context.CancelFunc
	// first and heard are when the first and the last bytes of the answer came, began before that.
	first, heard time.Time
	// sending is how long the call itself may take to leave.
	sending time.Duration
	// given is true once the call was given up because later calls are answered.
	given bool
}

// judgement is a change of what is believed of a part.
type judgement struct {
	part string
	away bool
}

// begin notes a call. Its context ends early if the call turns out to be lost.
func (s *storeHealth) begin(ctx context.Context, part string, waits bool) (context.Context, *storeCall) {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	c := &storeCall{part: part, began: now, heard: now, waits: waits, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*storeCall]bool)
		s.parts = make(map[string]*partHealth)
	}
	s.open[c] = true
	return ctx, c
}

// send notes how long a call may take to leave.
func (s *storeHealth) send(c *storeCall, sending time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.sending = sending
}

// hear notes that more of the answer to a call has come.
func (s *storeHealth) hear(c *storeCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.heard = time.Now()
	if c.first.IsZero() {
		c.first = c.heard
	}
}

// latency returns how long the answer to a call that has ended took to begin.
func (s *storeHealth) latency(c *storeCall) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.first.IsZero() {
		return time.Since(c.began)
	}
	return c.first.Sub(c.began)
}

// answeredSince reports whether any call that concerns a part was answered since a time.
func (s *storeHealth) answeredSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered.After(t)
}

func (s *storeHealth) part(name string) *partHealth {
	p := s.parts[name]
	if p == nil {
		p = &partHealth{}
		s.parts[name] = p
	}
	return p
}

// committed notes whether a transaction of a part was answered.
func (s *storeHealth) committed(name string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(name)
	if answered {
		p.unanswered = 0
		return
	}
	p.unanswered++
}

// unanswered returns how many transactions of a part in a row got no answer.
func (s *storeHealth) unanswered(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[name]; p != nil {
		return p.unanswered
	}
	return 0
}

// end notes how a call ended. It returns how the judgement of its part changed, if it did.
func (s *storeHealth) end(c *storeCall, answered, counts bool) (judgement, bool) {
	defer c.cancel()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	if c.part == everyPart || c.given || !counts {
		return judgement{}, false
	}
	p := s.part(c.part)
	if !answered {
		if p.failures == 0 {
			p.failing = c.began
		}
		p.failures++
		return s.judge(c.part, now)
	}
	p.failures = 0
	p.answered, s.answered = now, now
	if p.away {
		s.giveUp(c)
	}
	return s.judge(c.part, now)
}

// crowded notes that a transaction of the part was refused because too many waited. That alone does not make the part away.
func (s *storeHealth) crowded(part string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(part).crowded = now
}

// giveUp ends the calls of the part that began before one that was answered, and all that wait: a connection on which an
// answer was lost delivers nothing more.
func (s *storeHealth) giveUp(answered *storeCall) {
	for c := range s.open {
		if (c.part == answered.part || c.waits) && c.heard.Before(answered.began.Add(-sameAnswer)) {
			c.given = true
			c.cancel()
		}
	}
}

// judge notes whether a part is away. It returns the judgement if that changed.
func (s *storeHealth) judge(name string, now time.Time) (judgement, bool) {
	p := s.part(name)
	away := p.failures >= awayFailures || s.silent(name, p, now)
	if away == p.away {
		return judgement{}, false
	}
	p.away = away
	return judgement{name, away}, true
}

// silent reports whether calls of the part stay without an answer.
func (s *storeHealth) silent(name string, p *partHealth, now time.Time) bool {
	return s.overdue(name, p, silentAfter, now)
}

// overdue reports whether a call of the part has had no answer for a time, and no other call of the part had one since.
func (s *storeHealth) overdue(name string, p *partHealth, after time.Duration, now time.Time) bool {
	if now.Sub(p.answered) <= after {
		return false
	}
	if p.failures > 0 && now.Sub(p.failing) > after {
		return true
	}
	for c := range s.open {
		if c.part == name && !c.waits && now.Sub(c.heard) > after+c.sending {
			return true
		}
	}
	return false
}

// look judges the parts with calls on their way. It returns the changes, and the parts to be asked whether they are back.
func (s *storeHealth) look(now time.Time) (changes []judgement, probes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.part != everyPart {
			if change, ok := s.judge(c.part, now); ok {
				changes = append(changes, change)
			}
		}
	}
	for name, p := range s.parts {
		if (p.away || s.overdue(name, p, doubtAfter, now) || now.Sub(p.crowded) < crowdedTime) && now.Sub(p.probed) >= probeEvery {
			p.probed = now
			probes = append(probes, name)
		}
	}
	return changes, probes
}

// away reports whether a call of the part is expected to fail: the part is away, or the whole store is.
func (s *storeHealth) away(part string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.parts[part]; p != nil && p.away {
		return true
	}
	return s.lost()
}

// lost reports whether the store answers nothing at all.
func (s *storeHealth) lost() bool {
	p := s.parts[""]
	return p != nil && p.away && time.Since(s.answered) > silentAfter
}

// gone reports whether the store answers nothing at all.
func (s *storeHealth) gone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost()
}
