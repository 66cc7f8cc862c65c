package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/io/peer/peerpb"
)

const (
	// silenceQuestionInterval is the minimum time between two rounds of questions whether the store is silent to others too.
	silenceQuestionInterval = 400 * time.Millisecond
	// silenceAnswerValidity is how long such a round counts. The next round begins and ends within it.
	silenceAnswerValidity = silenceQuestionInterval + dutyQuestionTimeout + 150*time.Millisecond
	// maxSilenceQuestions bounds the members that are asked in a round.
	maxSilenceQuestions = 12
	// minLinkedPeers is the number of members that a holder is linked to if there are as many.
	minLinkedPeers = 3
)

// storeSilence is what the other members have answered about a partition of the store that doesn't answer this one.
type storeSilence struct {
	// confirmedAt is when the last round of questions began in which no member had an answer of the store.
	confirmedAt time.Time
	// askedAt is when the last round began, and pending is true until it ends.
	askedAt time.Time
	pending bool
}

// validUntil returns the time until which no other member can have taken the holder's duty and started its tasks again, as far as
// that is known: another member takes it once this one's row was not renewed for memberLease. The zero time means that it can't be
// known, because there are no links to other members.
func (h *poolHolder) validUntil() time.Time {
	m := h.manager
	if m.Peers.Call == nil {
		return time.Time{}
	}
	h.mu.Lock()
	queueReadAt := h.feed.snapshotTime
	h.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.linkedPeers) == 0 {
		return time.Time{}
	}
	until := m.heartbeatAt.Add(memberLease)
	for _, t := range []time.Time{queueReadAt.Add(memberLease - heartbeatInterval), m.storeSilences[h.pool].confirmedAt.Add(silenceAnswerValidity)} {
		if t.After(until) {
			until = t
		}
	}
	return until
}

// isSilenceConfirmed reports whether the store is known to be silent to other members too.
func (m *Manager) isSilenceConfirmed(pool string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Peers.Call == nil || len(m.linkedPeers) == 0 || now.Before(m.storeSilences[pool].confirmedAt.Add(silenceAnswerValidity))
}

// askAboutSilence asks other members whether the store is silent to them too, while this one has got no answer for some time. A
// store that is away for all members keeps others from taking the duty; this holder goes on then.
func (h *poolHolder) askAboutSilence(until, now time.Time) {
	m := h.manager
	if until.IsZero() || now.Add(heartbeatInterval).Before(until) {
		return
	}
	m.mu.Lock()
	silence := m.storeSilences[h.pool]
	due := !silence.pending && now.Sub(silence.askedAt) >= silenceQuestionInterval
	if due {
		silence.pending, silence.askedAt = true, now
		m.storeSilences[h.pool] = silence
	}
	var members []string
	for name := range m.linkedPeers {
		members = append(members, name)
	}
	m.mu.Unlock()
	if !due {
		return
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	members = members[:min(len(members), maxSilenceQuestions)]
	h.group.Go(func() {
		confirmed := h.confirmSilence(members)
		m.mu.Lock()
		silence := m.storeSilences[h.pool]
		silence.pending = false
		if confirmed {
			silence.confirmedAt = now
		}
		m.storeSilences[h.pool] = silence
		m.mu.Unlock()
		h.wake()
	})
}

// confirmSilence reports whether at least half of the members answer, and none of them gets answers of the store.
func (h *poolHolder) confirmSilence(members []string) bool {
	ctx, cancel := context.WithTimeout(h.ctx, dutyQuestionTimeout)
	defer cancel()
	question := &peerpb.Envelope{Member: h.manager.MemberName, Body: &peerpb.Envelope_DutyQuestion{DutyQuestion: &peerpb.DutyQuestion{Duty: h.pool, Epoch: h.epoch}}}
	var mu sync.Mutex
	silent, answered := 0, 0
	var calls sync.WaitGroup
	for _, member := range members {
		calls.Go(func() {
			reply, err := h.manager.Peers.Call(ctx, member, question)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil: // counts as no answer
			case reply.GetDutyAnswer().GetStoreSilent():
				silent++
				answered++
			default:
				answered++
			}
		})
	}
	calls.Wait()
	return 2*answered >= len(members) && silent == answered
}

// updateValidity passes the time until which the duty is certain to the scheduler, and records when that has passed or is known again.
func (h *poolHolder) updateValidity(now time.Time) {
	until := h.validUntil()
	h.askAboutSilence(until, now)
	h.mu.Lock()
	h.scheduler.SetValidity(until)
	lapsed := !until.IsZero() && now.After(until)
	changed := lapsed != h.validityLapsed
	h.validityLapsed = lapsed
	h.mu.Unlock()
	if changed && lapsed {
		h.manager.record(event.Event{Number: event.WorkDutyUncertain, Pool: h.pool, Detail: "the store doesn't answer; no leases are granted and nothing is started"})
	}
	if changed && !lapsed {
		h.manager.record(event.Event{Number: event.WorkDutyCertain, Pool: h.pool})
	}
}
