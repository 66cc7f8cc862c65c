package runner

import (
	"context"
	"sync"
	"time"
)

const (
	// unavailableFailures is how many calls in a row must fail before a part of the store counts as away:
	// single lost answers come also while it serves.
	unavailableFailures = 3
	// unavailableAfter is how long calls may stay without any answer before a part of the store counts as away: longer than
	// its answers take when it is slow, and far shorter than callers wait.
	unavailableAfter = 700 * time.Millisecond
	// probeAfter is how long calls may stay without an answer before the part is asked for a row: transactions of a part that is
	// slow wait for each other, while a row is read at once.
	probeAfter = 300 * time.Millisecond
	// healthCheckInterval is the time between two looks at calls that are not answered.
	healthCheckInterval = 100 * time.Millisecond
	// probeInterval is the time between two calls that ask a part that is away whether it is back.
	probeInterval = 250 * time.Millisecond
	// overloadProbeTime is how long a part is probed after a transaction was refused because too many waited.
	overloadProbeTime = time.Second
	// lostCallMargin is by how much a call may have begun before one that is answered and still be believed to be on its way.
	lostCallMargin = 100 * time.Millisecond
	// allPartitions stands for calls that concern rows of all parts.
	allPartitions = "*"
)

// storeHealth judges the store by our own calls, each part by itself: a store may serve some parts and not others.
// The zero value holds all parts to be there.
type storeHealth struct {
	mu         sync.Mutex
	partitions map[string]*partitionHealth
	// inFlight holds the calls on their way.
	inFlight map[*storeCall]bool
	// lastAnswer is when a call of any part was answered last.
	lastAnswer time.Time
}

// partitionHealth is what calls told of one part.
type partitionHealth struct {
	consecutiveFailures int
	// unansweredCommits counts the transactions without an answer since the last one with.
	unansweredCommits int
	// failingSince is when the first of these calls began.
	failingSince time.Time
	lastAnswer   time.Time
	lastProbe    time.Time
	// lastOverload is when a transaction was last refused because too many waited.
	lastOverload time.Time
	// unavailable is the judgement that was told last.
	unavailable bool
}

// storeCall is one call on its way.
type storeCall struct {
	partition string
	start     time.Time
	// longPoll is true for calls that the store holds back until there is something to tell.
	longPoll bool
	cancel   context.CancelFunc
	// firstByte and heard are when the first and the last bytes of the answer came, began before that.
	firstByte, lastByte time.Time
	// transmitTime is how long the call itself may take to leave.
	transmitTime time.Duration
	// abandoned is true once the call was given up because later calls are answered.
	abandoned bool
}

// availabilityChange is a change of what is believed of a part.
type availabilityChange struct {
	partition   string
	unavailable bool
}

// begin notes a call. Its context ends early if the call turns out to be lost.
func (s *storeHealth) begin(ctx context.Context, part string, waits bool) (context.Context, *storeCall) {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	c := &storeCall{partition: part, start: now, lastByte: now, longPoll: waits, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		s.inFlight = make(map[*storeCall]bool)
		s.partitions = make(map[string]*partitionHealth)
	}
	s.inFlight[c] = true
	return ctx, c
}

// setTransmitTime notes how long a call may take to leave.
func (s *storeHealth) setTransmitTime(c *storeCall, sending time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.transmitTime = sending
}

// recordArrival notes that more of the answer to a call has come.
func (s *storeHealth) recordArrival(c *storeCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.lastByte = time.Now()
	if c.firstByte.IsZero() {
		c.firstByte = c.lastByte
	}
}

// latency returns how long the answer to a call that has ended took to begin.
func (s *storeHealth) latency(c *storeCall) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.firstByte.IsZero() {
		return time.Since(c.start)
	}
	return c.firstByte.Sub(c.start)
}

// answeredSince reports whether any call that concerns a part was answered since a time.
func (s *storeHealth) answeredSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnswer.After(t)
}

func (s *storeHealth) partitionHealth(name string) *partitionHealth {
	p := s.partitions[name]
	if p == nil {
		p = &partitionHealth{}
		s.partitions[name] = p
	}
	return p
}

// recordCommit notes whether a transaction of a part was answered.
func (s *storeHealth) recordCommit(name string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionHealth(name)
	if answered {
		p.unansweredCommits = 0
		return
	}
	p.unansweredCommits++
}

// unansweredCommits returns how many transactions of a part in a row got no answer.
func (s *storeHealth) unansweredCommits(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partitions[name]; p != nil {
		return p.unansweredCommits
	}
	return 0
}

// end notes how a call ended. It returns how the judgement of its part changed, if it did.
func (s *storeHealth) end(c *storeCall, answered, counts bool) (availabilityChange, bool) {
	defer c.cancel()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, c)
	if c.partition == allPartitions || c.abandoned || !counts {
		return availabilityChange{}, false
	}
	p := s.partitionHealth(c.partition)
	if !answered {
		if p.consecutiveFailures == 0 {
			p.failingSince = c.start
		}
		p.consecutiveFailures++
		return s.updateAvailability(c.partition, now)
	}
	p.consecutiveFailures = 0
	p.lastAnswer, s.lastAnswer = now, now
	if p.unavailable {
		s.giveUp(c)
	}
	return s.updateAvailability(c.partition, now)
}

// recordOverload notes that a transaction of the part was refused because too many waited. That alone does not make the part away.
func (s *storeHealth) recordOverload(part string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionHealth(part).lastOverload = now
}

// giveUp ends the calls of the part that began before one that was answered, and all that wait: a connection on which an
// answer was lost delivers nothing more.
func (s *storeHealth) giveUp(answered *storeCall) {
	for c := range s.inFlight {
		if (c.partition == answered.partition || c.longPoll) && c.lastByte.Before(answered.start.Add(-lostCallMargin)) {
			c.abandoned = true
			c.cancel()
		}
	}
}

// updateAvailability notes whether a part is away. It returns the judgement if that changed.
func (s *storeHealth) updateAvailability(name string, now time.Time) (availabilityChange, bool) {
	p := s.partitionHealth(name)
	away := p.consecutiveFailures >= unavailableFailures || s.isUnanswered(name, p, now)
	if away == p.unavailable {
		return availabilityChange{}, false
	}
	p.unavailable = away
	return availabilityChange{name, away}, true
}

// isUnanswered reports whether calls of the part stay without an answer.
func (s *storeHealth) isUnanswered(name string, p *partitionHealth, now time.Time) bool {
	return s.isOverdue(name, p, unavailableAfter, now)
}

// isOverdue reports whether a call of the part has had no answer for a time, and no other call of the part had one since.
func (s *storeHealth) isOverdue(name string, p *partitionHealth, after time.Duration, now time.Time) bool {
	if now.Sub(p.lastAnswer) <= after {
		return false
	}
	if p.consecutiveFailures > 0 && now.Sub(p.failingSince) > after {
		return true
	}
	for c := range s.inFlight {
		if c.partition == name && !c.longPoll && now.Sub(c.lastByte) > after+c.transmitTime {
			return true
		}
	}
	return false
}

// check judges the parts with calls on their way. It returns the changes, and the parts to be asked whether they are back.
func (s *storeHealth) check(now time.Time) (changes []availabilityChange, probes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.inFlight {
		if c.partition != allPartitions {
			if change, ok := s.updateAvailability(c.partition, now); ok {
				changes = append(changes, change)
			}
		}
	}
	for name, p := range s.partitions {
		if (p.unavailable || s.isOverdue(name, p, probeAfter, now) || now.Sub(p.lastOverload) < overloadProbeTime) && now.Sub(p.lastProbe) >= probeInterval {
			p.lastProbe = now
			probes = append(probes, name)
		}
	}
	return changes, probes
}

// isUnavailable reports whether a call of the part is expected to fail: the part is away, or the whole store is.
func (s *storeHealth) isUnavailable(part string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partitions[part]; p != nil && p.unavailable {
		return true
	}
	return s.isUnreachableLocked()
}

// isUnreachableLocked reports whether the store answers nothing at all.
func (s *storeHealth) isUnreachableLocked() bool {
	p := s.partitions[""]
	return p != nil && p.unavailable && time.Since(s.lastAnswer) > unavailableAfter
}

// isUnreachable reports whether the store answers nothing at all.
func (s *storeHealth) isUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isUnreachableLocked()
}
