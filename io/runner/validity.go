package runner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/peer/peerpb"
)

const (
	// minSilenceInterval is the minimum time between two rounds of questions whether the store is silent to others too.
	// silenceIntervalPerMember is what each member that is asked adds to it, so that the rate of questions is bounded.
	minSilenceInterval       = 400 * time.Millisecond
	silenceIntervalPerMember = 20 * time.Millisecond
	// silenceAnswerSlack is how much longer a round counts than until the next one has ended.
	silenceAnswerSlack = 150 * time.Millisecond
	// maxSilencePermission bounds the time for which a round counts, from its start. It is below memberLease by more than clocks
	// drift, so that a process that starts in the place of one that has answered takes no duty before.
	maxSilencePermission = work.ReplacedHolderBound
	maxSilenceInterval   = maxSilencePermission - dutyQuestionTimeout - silenceAnswerSlack
	// silenceAbstention is for how long a member that has answered takes no duty from the holder that asked: a permission by the
	// clocks of two hosts that drift by 2 % each.
	silenceAbstention = maxSilencePermission + maxSilencePermission/20
	// witnessRetention is how long after it has lapsed a member still counts as one that may return and take duties.
	witnessRetention = time.Minute
)

// storeSilence is what the other members have answered about a partition of the store that doesn't answer this one.
type storeSilence struct {
	// confirmedUntil is how long the last round of questions counts in which no member had an answer of the store.
	confirmedUntil time.Time
	// confirmedAt is when that round began.
	confirmedAt time.Time
	// askedAt is when the last round began, and pending is true until it ends.
	askedAt time.Time
	pending bool
	// asked is the number of members that the last round asked, and silent the number of those that answered that they get no
	// answers of the store.
	asked, silent int
	// doubtedAt is when another member last asked about the duty so that rounds that began before don't count.
	doubtedAt time.Time
}

// doubtSilence drops what this member, the holder of a duty, knows of a silent store, when another member asks about the duty: one
// that the store answers, or that isn't known. That one becomes a witness: it may have started, or left standby, since the store
// last answered this one.
func (m *Manager) doubtSilence(t *tenure, from string, silent bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, listed := m.members[from]
	_, asked := m.doubters[from]
	if silent && (listed || asked) {
		return
	}
	silence := m.storeSilences[t.name]
	silence.confirmedUntil, silence.doubtedAt = time.Time{}, now
	m.storeSilences[t.name] = silence
	m.doubters[from] = now
	m.hasSeenOthers = m.hasSeenOthers || entryHostOf(from) != m.EntryHost
	t.wake()
}

// recentDoubters returns the members that have asked about a duty of this one within witnessRetention. The caller holds the lock.
func (m *Manager) recentDoubters(now time.Time) []string {
	maps.DeleteFunc(m.doubters, func(_ string, askedAt time.Time) bool { return now.Sub(askedAt) > witnessRetention })
	return slices.Collect(maps.Keys(m.doubters))
}

// witnesses returns the names of the other members that may take this one's duties if the store answers them: those with a row as of
// the store's last answer, lapsed or not, and those that have asked about a duty of this one, whose process has not ended. It leaves
// out those that lapsed, or asked, longer ago than witnessRetention. The caller holds the lock.
func (m *Manager) witnesses(now time.Time) []string {
	doubters := m.recentDoubters(now)
	names := slices.Concat(m.failureDetector.All(), doubters)
	slices.Sort(names)
	names = slices.Compact(names)
	latest := make(map[string]string, len(names))
	for _, name := range names {
		latest[entryHostOf(name)] = laterIncarnation(latest[entryHostOf(name)], name)
	}
	latest[m.EntryHost] = "" // this process, and those before it
	for _, name := range m.failureDetector.LapsedFor(witnessRetention) {
		if latest[entryHostOf(name)] == name && !slices.Contains(doubters, name) {
			latest[entryHostOf(name)] = ""
		}
	}
	return slices.DeleteFunc(names, func(name string) bool { return latest[entryHostOf(name)] != name })
}

// laterIncarnation returns the member of two that started later on the same entry host. An empty name stands for none.
func laterIncarnation(a, b string) string {
	if len(a) > len(b) || (len(a) == len(b) && a > b) { // the names end with the start time in decimal
		return a
	}
	return b
}

// goesOnAlone reports whether no other member can take this one's duties, or none can be asked. A holder that has ever seen
// another member is not alone: one whose row is gone may start anew and reach the store. The caller holds the lock.
func (m *Manager) goesOnAlone() bool { return m.Peers.Call == nil || !m.hasSeenOthers }

// certainty returns the latest time at which no other member had taken the holder's duty, as far as that is known, and the time until
// which none can have started its tasks again: the next holder counts with what this one does for work.ReplacedHolderBound after it
// was replaced. The pool's queue, the holders' rows and transactions that expect the fence prove that the duty is this one's, renewals of its member row don't: the store
// may carry out a takeover that was sent earlier. Zero times mean that it can't be known, because there are no links to other
// members, or that there has never been another member.
func (h *poolHolder) certainty() (heldUntil, validUntil time.Time) {
	m := h.manager
	h.mu.Lock()
	heldAt := laterTime(h.feed.snapshotTime, h.committedAt)
	h.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.goesOnAlone() {
		return time.Time{}, time.Time{}
	}
	if m.holderRows[h.pool].version <= h.epoch {
		heldAt = laterTime(heldAt, m.fleetKnownAt)
	}
	heldAt = m.suspension.forgetSnapshot(heldAt)
	silence := m.storeSilences[h.pool]
	return laterTime(heldAt, silence.confirmedAt), laterTime(heldAt.Add(work.ReplacedHolderBound), silence.confirmedUntil)
}

// isValid reports whether the duty is certain at this time.
func (h *poolHolder) isValid(now time.Time) bool {
	h.manager.noticeSuspension()
	_, until := h.certainty()
	return until.IsZero() || !now.After(until)
}

// laterTime returns the later one of two times.
func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isSilenceConfirmed reports whether the store is known to be silent to other members too.
func (m *Manager) isSilenceConfirmed(pool string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.goesOnAlone() || now.Before(m.storeSilences[pool].confirmedUntil)
}

// askAboutSilence asks other members whether the store is silent to them too, while this one has got no answer for some time. A
// store that is away for all members keeps others from taking the duty; this holder goes on then.
func (h *poolHolder) askAboutSilence(until, now time.Time) {
	m := h.manager
	if until.IsZero() || now.Add(heartbeatInterval).Before(until) {
		return
	}
	m.mu.Lock()
	witnesses := m.witnesses(now)
	interval := min(minSilenceInterval+silenceIntervalPerMember*time.Duration(len(witnesses)), maxSilenceInterval)
	silence := m.storeSilences[h.pool]
	due := len(witnesses) > 0 && !silence.pending && now.Sub(silence.askedAt) >= interval
	if due {
		silence.pending, silence.askedAt = true, now
		m.storeSilences[h.pool] = silence
	}
	m.mu.Unlock()
	if !due {
		return
	}
	m.connectTo(witnesses)
	h.group.Go(func() {
		silent, takers := h.countSilent(witnesses)
		m.mu.Lock()
		silence := m.storeSilences[h.pool]
		silence.pending, silence.asked, silence.silent = false, len(witnesses), silent
		if silent == len(witnesses) && !m.addWitnesses(takers, witnesses, now) && !m.suspension.forget(now).IsZero() && !silence.doubtedAt.After(now) {
			silence.confirmedAt = now
			silence.confirmedUntil = now.Add(interval + dutyQuestionTimeout + silenceAnswerSlack)
		}
		m.storeSilences[h.pool] = silence
		m.mu.Unlock()
		h.wake()
	})
}

// addWitnesses adds members that take this one's duties to those that are asked. It reports false if all of them have been asked. The
// caller holds the lock.
func (m *Manager) addWitnesses(takers, asked []string, now time.Time) bool {
	added := false
	for _, name := range takers {
		if slices.Contains(asked, name) || name == m.MemberName {
			continue
		}
		added = true
		if _, ok := m.doubters[name]; !ok {
			m.doubters[name] = now
		}
	}
	return added
}

// countSilent returns how many of these members answer that they get no answers of the store, and which members they know to take
// this one's duties. One that doesn't answer may have taken the duty, so the others are not waited for then.
func (h *poolHolder) countSilent(members []string) (silent int, takers []string) {
	ctx, cancel := context.WithTimeout(h.ctx, dutyQuestionTimeout)
	defer cancel()
	question := &peerpb.Envelope{Member: h.manager.MemberName, Body: &peerpb.Envelope_DutyQuestion{DutyQuestion: &peerpb.DutyQuestion{
		Duty: h.pool, Epoch: h.epoch, StoreSilent: true,
	}}}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, member := range members {
		calls.Go(func() {
			reply, err := h.manager.Peers.Call(ctx, member, question)
			if err != nil || !reply.GetDutyAnswer().GetStoreSilent() {
				cancel() // the other answers don't matter any more
				return
			}
			mu.Lock()
			defer mu.Unlock()
			silent++
			takers = append(takers, reply.GetDutyAnswer().GetTakers()...)
		})
	}
	calls.Wait()
	return silent, takers
}

// updateValidity passes the time until which the duty is certain to the scheduler, and records when that has passed or is known again,
// and when it rests on the answers of other members alone.
func (h *poolHolder) updateValidity(now time.Time) {
	h.manager.noticeSuspension()
	heldUntil, until := h.certainty()
	h.askAboutSilence(until, now)
	confirmed := h.restsOnSilence(until)
	h.mu.Lock()
	h.scheduler.SetHeldUntil(heldUntil)
	h.scheduler.SetValidity(until)
	lapsed := !until.IsZero() && now.After(until)
	changed, kept := lapsed != h.validityLapsed, confirmed && !lapsed && !h.keptBySilence
	h.validityLapsed, h.keptBySilence = lapsed, confirmed
	h.mu.Unlock()
	switch {
	case changed && lapsed:
		h.recordValidity(event.WorkDutyUncertain, now, "no leases are granted and nothing is started")
	case kept:
		h.recordValidity(event.WorkDutyKept, now, "leases are granted without the store")
	case changed:
		h.recordValidity(event.WorkDutyCertain, now, "leases are granted again")
	}
}

// restsOnSilence reports whether the duty is certain until this time only because the store is silent to other members too.
func (h *poolHolder) restsOnSilence(until time.Time) bool {
	m := h.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	return !until.IsZero() && until.Equal(m.storeSilences[h.pool].confirmedUntil)
}

// recordValidity records a change of the duty's validity with what it rests on.
func (h *poolHolder) recordValidity(number event.Number, now time.Time, effect string) {
	m := h.manager
	h.mu.Lock()
	queueAge := now.Sub(h.feed.snapshotTime)
	h.mu.Unlock()
	m.mu.Lock()
	silence, heartbeatAge := m.storeSilences[h.pool], now.Sub(m.heartbeatAt)
	m.mu.Unlock()
	m.record(event.Event{Number: number, Pool: h.pool, Detail: fmt.Sprintf(
		"epoch %d: %s; the last answered renewal of the member row began %s ago, the queue is known as of %s ago; of %d members asked last, the store is silent to %d",
		h.epoch, effect, heartbeatAge.Round(time.Millisecond), queueAge.Round(time.Millisecond), silence.asked, silence.silent)})
}
