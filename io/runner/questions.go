package runner

import (
	"context"
	"time"

	"siskincross/io/peer/peerpb"
)

const (
	// dutyQuestionTimeout is how long the holder of a duty may take to answer whether it still carries it out.
	dutyQuestionTimeout = 250 * time.Millisecond
	// dutyQuestionLead is how long before a holder lapses it is asked, so that the takeover from one that has ended is not
	// delayed.
	dutyQuestionLead = dutyQuestionTimeout + dutyCheckInterval
	// dutyQuestionInterval is the minimum time between two questions to a holder that answers.
	dutyQuestionInterval = dutyAnswerValidity / 2
	// dutyAnswerValidity is how long a duty is not taken after the question to which its holder answered that it holds it.
	dutyAnswerValidity = heartbeatInterval
)

// dutyAnswer is what a member answered last about a duty.
type dutyAnswer struct {
	// epoch is that of the question, and askedAt its time.
	epoch   uint64
	askedAt time.Time
	held    bool
	// pending is true until the question is answered or its timeout has passed.
	pending bool
}

// askSilentHolders asks each holder of a duty whose member row was not renewed for nearly the lease whether it still
// carries out the duty: a partition of the store that is slow or full refuses heartbeats of members that do their work.
func (m *Manager) askSilentHolders(names []string, now time.Time) {
	if m.Peers.Call == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	silent := make(map[string]bool)
	for _, member := range m.failureDetector.SilentFor(memberLease - dutyQuestionLead) {
		silent[member] = true
	}
	for _, name := range names {
		row, answer := m.holderRows[name], m.dutyAnswers[name]
		if row.ended || row.Holder == m.MemberName || !silent[row.Holder] || answer.pending || now.Sub(answer.askedAt) < dutyQuestionInterval {
			continue
		}
		if answer.epoch != row.version {
			answer = dutyAnswer{epoch: row.version}
		}
		answer.pending = true
		m.dutyAnswers[name] = answer
		m.group.Go(func() { m.askHolder(name, row, now) })
	}
}

// askHolder asks the holder of a duty whether it still carries it out, and keeps the answer.
func (m *Manager) askHolder(name string, row versionedHolder, now time.Time) {
	ctx, cancel := context.WithTimeout(m.ctx, dutyQuestionTimeout)
	defer cancel()
	reply, err := m.Peers.Call(ctx, row.Holder, &peerpb.Envelope{
		Member: m.MemberName, Body: &peerpb.Envelope_DutyQuestion{DutyQuestion: &peerpb.DutyQuestion{
			Duty: name, Epoch: row.version, StoreSilent: m.storeIsSilent(name),
		}},
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := m.dutyAnswers[name]
	if answer.epoch != row.version {
		return
	}
	answer.pending = false
	if err == nil {
		answer.held, answer.askedAt = reply.GetDutyAnswer().GetHeld(), now
	}
	m.dutyAnswers[name] = answer
}

// holderAnswers reports whether the holder of a duty has answered lately that it carries it out.
func (m *Manager) holderAnswers(name string, row versionedHolder, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := m.dutyAnswers[name]
	return answer.held && answer.epoch == row.version && now.Sub(answer.askedAt) < dutyAnswerValidity
}

// handleDutyQuestion answers whether this member carries out a duty, and whether the store answers it. It does not carry the duty out if
// the store turns it away. A holder that has been replaced is not told that the store is silent, since it would go on.
func (m *Manager) handleDutyQuestion(_ context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	question := message.GetDutyQuestion()
	m.mu.Lock()
	t := m.tenures[question.GetDuty()]
	leaving := m.leaving
	replaced := m.holderRows[question.GetDuty()].version > question.GetEpoch()
	m.mu.Unlock()
	if t != nil && t.epoch == question.GetEpoch() {
		m.doubtSilence(t, from, question.GetStoreSilent(), time.Now())
	}
	held := t != nil && !leaving && t.epoch == question.GetEpoch() && t.ctx.Err() == nil && !m.storeHealth.isUnavailable(t.name) &&
		m.storeHealth.answeredSince(time.Now().Add(-storeSilenceLimit))
	answer := m.newDutyAnswer(held)
	answer.GetDutyAnswer().StoreSilent = !replaced && m.storeIsSilent(question.GetDuty()) && m.abstain(question.GetDuty(), time.Now())
	if question.GetStoreSilent() {
		answer.GetDutyAnswer().Takers = m.takersOf(from, time.Now())
	}
	return answer
}

// abstain keeps this member from taking a duty for silenceAbstention. It reports false if it may be taking the duty already.
func (m *Manager) abstain(duty string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dutyBeingTaken == duty {
		return false
	}
	m.abstainsUntil[duty] = now.Add(silenceAbstention)
	return true
}

// beginTaking reports whether this member may take a duty, and makes abstain refuse until endTaking. A holder that has ended needs
// no permission to go on.
func (m *Manager) beginTaking(duty string, row versionedHolder, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !row.ended && !m.isEarlierIncarnation(row.Holder) && now.Before(m.abstainsUntil[duty]) {
		return false
	}
	m.dutyBeingTaken = duty
	return true
}

// endTaking ends what beginTaking began.
func (m *Manager) endTaking() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dutyBeingTaken = ""
}

// storeIsSilent reports whether this member can't take a duty now, because the store doesn't answer it, or not about the duty or the
// members.
func (m *Manager) storeIsSilent(duty string) bool {
	const memberPartition = ""
	return m.storeHealth.isUnavailable(duty) || m.storeHealth.isUnavailable(memberPartition) || !m.storeHealth.answeredSince(time.Now().Add(-storeSilenceLimit))
}

// newDutyAnswer returns the answer to a question or an offer.
func (m *Manager) newDutyAnswer(held bool) *peerpb.Envelope {
	return &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_DutyAnswer{DutyAnswer: &peerpb.DutyAnswer{Held: held}}}
}
