package runner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/io/peer/peerpb"
)

const (
	// noticeLead is how long before a holder lapses the members that will get a notice are connected to.
	noticeLead = dutyQuestionLead + heartbeatInterval
	// noticeInterval is the minimum time between two notices about a holder.
	noticeInterval = dutyQuestionInterval
	// noticeValidity is how long after a notice has begun duties of its holder may be taken.
	noticeValidity = 2 * dutyAnswerValidity
)

// takeoverNotice is the last notice about a holder that this member has sent to all others.
type takeoverNotice struct {
	// startedAt is when the sending of the last notice began that has ended.
	startedAt time.Time
	// pending is true while a notice is sent.
	pending bool
}

// takeover names a member whose duties are taken, and the one that takes them.
type takeover struct{ holder, taker string }

// isNewcomer reports whether a holder that lost the store may not know this member, or not count it any more: the store has answered
// this one for less than witnessRetention. The caller holds the lock.
func (m *Manager) isNewcomer(now time.Time) bool { return now.Sub(m.connectedSince) < witnessRetention }

// sendTakeoverNotices tells all other members which silent holders this one may replace soon, if those may not know it: they don't ask
// this member whether the store is silent to it, and may not be reached.
func (m *Manager) sendTakeoverNotices(names []string, now time.Time) {
	if m.Peers.Call == nil {
		return
	}
	m.mu.Lock()
	if !m.connected || !m.isNewcomer(now) {
		m.mu.Unlock()
		return
	}
	maps.DeleteFunc(m.takeoverNotices, func(_ string, n takeoverNotice) bool { return !n.pending && now.Sub(n.startedAt) > witnessRetention })
	holders, due := m.silentHolders(names, memberLease-noticeLead), m.silentHolders(names, memberLease-dutyQuestionLead)
	due = slices.DeleteFunc(due, func(holder string) bool {
		notice := m.takeoverNotices[holder]
		return notice.pending || now.Sub(notice.startedAt) < noticeInterval
	})
	for _, holder := range due {
		notice := m.takeoverNotices[holder]
		notice.pending = true
		m.takeoverNotices[holder] = notice
	}
	others := slices.DeleteFunc(m.failureDetector.All(), func(name string) bool { return name == m.MemberName })
	m.mu.Unlock()
	if len(holders) > 0 {
		m.connectTo(others)
	}
	if len(due) > 0 {
		m.group.Go(func() { m.sendTakeoverNotice(due, others, now) })
	}
}

// silentHolders returns the members that hold one of these duties, may go on, and haven't renewed their rows for at least the
// duration, sorted. The caller holds the lock.
func (m *Manager) silentHolders(names []string, duration time.Duration) []string {
	silent := m.failureDetector.SilentFor(duration)
	holders := make(map[string]bool)
	for _, name := range names {
		row := m.holderRows[name]
		if !row.ended && row.Holder != m.MemberName && !m.isEarlierIncarnation(row.Holder) && slices.Contains(silent, row.Holder) {
			holders[row.Holder] = true
		}
	}
	return slices.Sorted(maps.Keys(holders))
}

// sendTakeoverNotice tells members that this one takes the duties of holders, and returns once all have answered or the time for it is over.
func (m *Manager) sendTakeoverNotice(holders, members []string, now time.Time) {
	ctx, cancel := context.WithTimeout(m.ctx, dutyQuestionTimeout)
	defer cancel()
	notice := &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_TakeoverNotice{TakeoverNotice: &peerpb.TakeoverNotice{Holders: holders}}}
	var mu sync.Mutex
	var unreached []string
	var calls sync.WaitGroup
	for _, member := range members {
		calls.Go(func() {
			if _, err := m.Peers.Call(ctx, member, notice); err != nil {
				mu.Lock()
				defer mu.Unlock()
				unreached = append(unreached, fmt.Sprintf("%s: %v", member, err))
			}
		})
	}
	calls.Wait()
	// Those that weren't reached get the next notice. The duties are taken all the same: a member that reaches nobody can't know whether
	// there is anybody.
	if len(unreached) > 0 {
		m.record(event.Event{Number: event.WorkDutyFailed, Detail: "tell others whose duties are taken: " + strings.Join(unreached, ", ")})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, holder := range holders {
		m.takeoverNotices[holder] = takeoverNotice{startedAt: now}
	}
}

// mustSendNotice reports whether others must be told before this member takes a duty of the holder.
func (m *Manager) mustSendNotice(holder string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.failureDetector.Member(holder) // as otherwise its row was removed, or there has been no holder
	return m.Peers.Call != nil && m.isNewcomer(now) && known && holder != m.MemberName && !m.isEarlierIncarnation(holder) && now.Sub(m.takeoverNotices[holder].startedAt) >= noticeValidity
}

// handleTakeoverNotice keeps that another member takes the duties of holders, for takersOf.
func (m *Manager) handleTakeoverNotice(_ context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.takers, func(_ takeover, at time.Time) bool { return now.Sub(at) > witnessRetention })
	for _, holder := range message.GetTakeoverNotice().GetHolders() {
		m.takers[takeover{holder: holder, taker: from}] = now
	}
	return &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_Acknowledgement{Acknowledgement: &peerpb.Acknowledgement{}}}
}

// takersOf returns the members that have sent a notice about a holder within witnessRetention.
func (m *Manager) takersOf(holder string, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var takers []string
	for t, at := range m.takers {
		if t.holder == holder && now.Sub(at) <= witnessRetention {
			takers = append(takers, t.taker)
		}
	}
	return takers
}
