package runner

import (
	"time"
)

// errTooSlow returns the refusal of a submission that can't be stored in its caller's time.
func errTooSlow(retryAfter time.Duration) ErrNotAccepted {
	return ErrNotAccepted{
		Reason: "the pool's partition of the store is too slow to store the job in time", RetryAfter: max(retryAfter, storeRetryAfter), Overload: true,
	}
}

// handInEstimateValidity is how long the time of a hand-in tells how long the next one takes.
const handInEstimateValidity = 250 * time.Millisecond

// refuseHopeless refuses the queued submissions that can't be stored while their callers wait, and of which no commit can
// have taken effect. The pool's holder knows how long its queue takes, other members how long the holder took for what
// they handed in last: its answer comes after the last job of the message, too late for those that it refused.
func (m *Manager) refuseHopeless(pool string, b *batcher) {
	now := time.Now()
	commitTime := m.storeHealth.slowCommitTime(pool, now)
	wait := func(ahead int) time.Duration { return waitInBacklog(ahead, commitTime) }
	if m.readyHolder(pool) == nil {
		if commitTime = m.slowHandInTime(pool, now); !m.canForward(pool) {
			return
		}
		wait = func(int) time.Duration { return commitTime }
	}
	if commitTime == 0 {
		return
	}
	b.mu.Lock()
	var hopeless []*submission
	b.queued, hopeless = splitHopeless(b.queued, wait, now)
	drained := wait(len(b.queued))
	b.mu.Unlock()
	for _, s := range hopeless {
		s.finish(errTooSlow(drained))
	}
}

// slowHandInTime returns how long the holder of a pool took to answer the last hand-in if the answer has just arrived and
// the holder is slow, otherwise zero.
func (m *Manager) slowHandInTime(pool string, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.lastHandIns[pool]
	if last.duration <= slowAnswer || now.Sub(last.answeredAt) > handInEstimateValidity {
		return 0
	}
	return last.duration
}

// noteHandIn records how long the holder of a pool took to answer a hand-in.
func (m *Manager) noteHandIn(pool string, duration time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHandIns[pool] = handIn{duration: duration, answeredAt: now}
}

// handIn is an answered hand-in.
type handIn struct {
	duration   time.Duration
	answeredAt time.Time
}

// splitHopeless divides a queue into the submissions that can be stored in time or whose outcome is unknown, and the
// others. wait returns how long it takes to store a submission behind a number of others.
func splitHopeless(queued []*submission, wait func(ahead int) time.Duration, now time.Time) (kept, hopeless []*submission) {
	for _, s := range queued {
		if !s.maybeStored && s.waitsUntil.Sub(now) < wait(len(kept)) {
			hopeless = append(hopeless, s)
			continue
		}
		kept = append(kept, s)
	}
	return kept, hopeless
}

// waitInBacklog returns how long it takes to store a submission behind others, at commitTime for a transaction.
func waitInBacklog(ahead int, commitTime time.Duration) time.Duration {
	return commitTime + commitTime*time.Duration(ahead/maxJobsPerCommit)/maxConcurrentCommits
}

// refuseOverdue refuses the submissions that can't be stored while their callers wait, because too many transactions
// wait in the partition, and of which no commit can have taken effect. It returns the others.
func (m *Manager) refuseOverdue(pool string, group []*submission) []*submission {
	now := time.Now()
	commitTime := m.storeHealth.slowCommitTime(pool, now)
	wait := max(maxQueueing, commitTime)
	kept := group[:0]
	for _, s := range group {
		if s.maybeStored || s.waitsUntil.Sub(now) >= wait {
			kept = append(kept, s)
			continue
		}
		refusal := errTooSlow(wait)
		// A store that turns this entry host away may serve others.
		refusal.Overload = commitTime > 0
		s.finish(refusal)
	}
	return kept
}
