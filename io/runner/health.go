package runner

import (
	"context"
	"sync"
	"time"
)

const (
	// unavailableFailures is the number of consecutive failed calls after which a partition of the store is
	// considered unavailable. Single answers are also lost while it is available.
	unavailableFailures = 3
	// unavailableAfter is how long calls may stay unanswered before a partition is considered unavailable. It is
	// longer than answers take when the store is slow, and far shorter than callers wait.
	unavailableAfter = 700 * time.Millisecond
	// probeAfter is how long calls may stay unanswered before the partition is probed by reading a row. Transactions
	// of a slow partition are queued behind each other, while a row is read at once.
	probeAfter = 200 * time.Millisecond
	// healthCheckInterval is the time between two checks for unanswered calls.
	healthCheckInterval = 100 * time.Millisecond
	// probeInterval is the time between two probes of an unavailable partition.
	probeInterval = 250 * time.Millisecond
	// overloadProbeTime is how long a partition is probed after it refused a transaction because of overload.
	overloadProbeTime = time.Second
	// lostCallMargin is by how much the last part of a call's answer may precede the start of an answered call before
	// the former call is considered lost.
	lostCallMargin = 100 * time.Millisecond
	// slowAnswer is the latency above which the store is considered slow. An answer that is retransmitted once arrives
	// within about twice that time.
	slowAnswer = 100 * time.Millisecond
	// slowAnswerFactor is the ratio of the time that a call may take to the latency of the newest answer while the store
	// is slow. A transaction takes up to twice as long as a read.
	slowAnswerFactor = 3
	// maxQueueing is how long transactions of a partition wait at the store at most. Beyond that it refuses them.
	maxQueueing = time.Second
	// allPartitions is the partition of calls that concern rows of all partitions.
	allPartitions = "*"
)

// storeHealth detects outages of the store from the results of this process's own calls. It tracks each partition
// separately, because a store may serve only some of them. The zero value considers all partitions available.
type storeHealth struct {
	mu         sync.Mutex
	partitions map[string]*partitionHealth
	// inFlight holds the calls that have not ended.
	inFlight map[*storeCall]bool
	// lastAnswer is when a call of any partition was last answered.
	lastAnswer time.Time
	// newestAnswered is the start of the most recently started call that was answered, and newestLatency its latency.
	// Long polls are not included.
	newestAnswered time.Time
	newestLatency  time.Duration
}

// partitionHealth is the observed state of one partition.
type partitionHealth struct {
	consecutiveFailures int
	// unansweredCommits is the number of consecutive transactions without an answer.
	unansweredCommits int
	// commitLatency is the latency of the last transaction that was answered.
	commitLatency time.Duration
	// commitAnsweredAt is when it was answered.
	commitAnsweredAt time.Time
	// failingSince is when the first of the consecutive failed calls was sent.
	failingSince time.Time
	lastAnswer   time.Time
	lastProbe    time.Time
	// lastOverload is when the partition last refused a transaction because of overload.
	lastOverload time.Time
	// unavailable is the state that was last reported as an availabilityChange.
	unavailable bool
}

// storeCall is one call in flight.
type storeCall struct {
	partition string
	start     time.Time
	// longPoll is true for calls that the store holds back until there is a change to report.
	longPoll bool
	// probe is true for calls that find out whether the partition answers.
	probe  bool
	cancel context.CancelFunc
	// firstByte and lastByte are when the first and the most recent part of the answer arrived. Before that,
	// firstByte is zero and lastByte is the start of the call.
	firstByte, lastByte time.Time
	// transmitTime is how long the request may take to leave this entry host.
	transmitTime time.Duration
	// abandoned is true once the call was cancelled because later calls were answered.
	abandoned bool
}

// availabilityChange reports that a partition became available or unavailable.
type availabilityChange struct {
	partition   string
	unavailable bool
}

// begin registers a call. The returned context ends early if the call is considered lost.
func (s *storeHealth) begin(ctx context.Context, partition string, longPoll, probe bool) (context.Context, *storeCall) {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	c := &storeCall{partition: partition, start: now, lastByte: now, longPoll: longPoll, probe: probe, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		s.inFlight = make(map[*storeCall]bool)
		s.partitions = make(map[string]*partitionHealth)
	}
	s.inFlight[c] = true
	return ctx, c
}

// setTransmitTime sets how long a request may take to leave this entry host.
func (s *storeHealth) setTransmitTime(c *storeCall, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.transmitTime = d
}

// recordArrival records that a part of the answer has arrived.
func (s *storeHealth) recordArrival(c *storeCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.lastByte = time.Now()
	if c.firstByte.IsZero() {
		c.firstByte = c.lastByte
	}
}

// latency returns the time to the first part of the answer of a call that has ended.
func (s *storeHealth) latency(c *storeCall) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.firstByte.IsZero() {
		return time.Since(c.start)
	}
	return c.firstByte.Sub(c.start)
}

// answeredSince reports whether a call of any single partition was answered after t.
func (s *storeHealth) answeredSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnswer.After(t)
}

// partitionHealth returns the state of a partition and creates it if necessary. The caller holds the lock.
func (s *storeHealth) partitionHealth(partition string) *partitionHealth {
	p := s.partitions[partition]
	if p == nil {
		p = &partitionHealth{}
		s.partitions[partition] = p
	}
	return p
}

// recordCommit records whether a transaction of a partition was answered, and its latency.
func (s *storeHealth) recordCommit(partition string, answered bool, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionHealth(partition)
	if answered {
		p.unansweredCommits, p.commitLatency, p.commitAnsweredAt = 0, latency, time.Now()
		return
	}
	p.unansweredCommits++
}

// commitHistory returns the number of consecutive unanswered transactions of a partition, and the latency of the last
// one that was answered.
func (s *storeHealth) commitHistory(partition string) (unanswered int, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partitions[partition]; p != nil {
		return p.unansweredCommits, p.commitLatency
	}
	return 0, 0
}

// slowCommitTime returns how long transactions of a partition currently take if the partition is slow, otherwise zero.
func (s *storeHealth) slowCommitTime(partition string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[partition]
	if p == nil || p.commitLatency <= slowAnswer || now.Sub(p.commitAnsweredAt) > extensionTime {
		return 0
	}
	return p.commitLatency
}

// recordAnswer records the latency of an answered call, which shows whether calls of that time are answered slowly.
func (s *storeHealth) recordAnswer(c *storeCall, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.longPoll && c.start.After(s.newestAnswered) {
		s.newestAnswered, s.newestLatency = c.start, latency
	}
}

// answersSlowly reports whether the store answered the newest call slowly.
func (s *storeHealth) answersSlowly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestLatency > slowAnswer
}

// mayBeAnswered reports whether a call that has exceeded its timeout may still be answered. It may as long as no call
// that started later was answered, or while such calls are answered slowly. queueing is how long the store may hold
// the call back before it is executed.
func (s *storeHealth) mayBeAnswered(c *storeCall, queueing time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(c.start) - c.transmitTime
	switch {
	case !c.firstByte.IsZero() || elapsed >= maxStoreTimeout:
		return false
	case !s.newestAnswered.After(c.start):
		p := s.partitions[c.partition]
		return c.probe || queueing > 0 || p == nil || !p.unavailable
	}
	return s.newestLatency > slowAnswer && elapsed < queueing+slowAnswerFactor*s.newestLatency
}

// end records the result of a call. The result has no effect on the partition's availability unless conclusive is
// set. The second return value is true if the availability changed.
func (s *storeHealth) end(c *storeCall, answered, conclusive bool) (availabilityChange, bool) {
	defer c.cancel()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, c)
	if c.partition == allPartitions || c.abandoned || !conclusive {
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
		s.abandonOlderCalls(c)
	}
	return s.updateAvailability(c.partition, now)
}

// recordOverload records that the partition refused a transaction because of overload. Overload alone does not make
// it unavailable.
func (s *storeHealth) recordOverload(partition string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionHealth(partition).lastOverload = now
}

// abandonOlderCalls cancels the calls of the partition, and all long polls, whose last arrival precedes the answered
// call. A connection on which an answer was lost delivers nothing more.
func (s *storeHealth) abandonOlderCalls(answered *storeCall) {
	for c := range s.inFlight {
		if (c.partition == answered.partition || c.longPoll) && c.lastByte.Before(answered.start.Add(-lostCallMargin)) {
			c.abandoned = true
			c.cancel()
		}
	}
}

// updateAvailability updates whether a partition is unavailable. The second return value is true if that changed.
func (s *storeHealth) updateAvailability(partition string, now time.Time) (availabilityChange, bool) {
	p := s.partitionHealth(partition)
	unavailable := p.consecutiveFailures >= unavailableFailures || s.isUnanswered(partition, p, now)
	if unavailable == p.unavailable {
		return availabilityChange{}, false
	}
	p.unavailable = unavailable
	return availabilityChange{partition, unavailable}, true
}

// isUnanswered reports whether calls of the partition have stayed unanswered for too long.
func (s *storeHealth) isUnanswered(partition string, p *partitionHealth, now time.Time) bool {
	return s.isOverdue(partition, p, unavailableAfter, now)
}

// isOverdue reports whether a call of the partition has been unanswered for longer than after, and no other call of
// the partition was answered meanwhile.
func (s *storeHealth) isOverdue(partition string, p *partitionHealth, after time.Duration, now time.Time) bool {
	if now.Sub(p.lastAnswer) <= after {
		return false
	}
	if p.consecutiveFailures > 0 && now.Sub(p.failingSince) > after {
		return true
	}
	for c := range s.inFlight {
		if c.partition == partition && !c.longPoll && now.Sub(c.lastByte) > after+c.transmitTime {
			return true
		}
	}
	return false
}

// check updates the partitions that have calls in flight. It returns the changes and the partitions to probe.
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
	for partition, p := range s.partitions {
		if (p.unavailable || s.isOverdue(partition, p, probeAfter, now) || now.Sub(p.lastOverload) < overloadProbeTime) && now.Sub(p.lastProbe) >= probeInterval {
			p.lastProbe = now
			probes = append(probes, partition)
		}
	}
	return changes, probes
}

// isUnavailable reports whether a call of the partition is expected to fail, because the partition or the whole store
// is unavailable.
func (s *storeHealth) isUnavailable(partition string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partitions[partition]; p != nil && p.unavailable {
		return true
	}
	return s.isUnreachableLocked()
}

// isUnreachableLocked is isUnreachable for a caller that holds the lock.
func (s *storeHealth) isUnreachableLocked() bool {
	p := s.partitions[""]
	return p != nil && p.unavailable && time.Since(s.lastAnswer) > unavailableAfter
}

// isUnreachable reports whether the store answers no call at all.
func (s *storeHealth) isUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isUnreachableLocked()
}
