package runner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"siskincross/core/duty"
	"siskincross/io/peer/peerpb"
)

// maxDutyOffers is the number of members to which a leaving member offers a duty.
const maxDutyOffers = 3

// offerDuties offers the duties that this member has ended to others, so that they need not wait until its member row
// is gone: a partition of the store that is slow or full may refuse the removal.
func (m *Manager) offerDuties(ctx context.Context, ended []*tenure) {
	if m.Peers.Call == nil {
		return
	}
	var group sync.WaitGroup
	for _, t := range ended {
		group.Go(func() { m.offerDuty(ctx, t) })
	}
	group.Wait()
}

// offerDuty offers one duty, unless another member has taken it, to the members that should hold it, until one of them
// takes it.
func (m *Manager) offerDuty(ctx context.Context, t *tenure) {
	m.mu.Lock()
	taken := m.holderRows[t.name].version > t.epoch
	m.mu.Unlock()
	if taken {
		return
	}
	refused := map[string]bool{m.MemberName: true}
	for range maxDutyOffers {
		to := m.successor(t.name, refused)
		if to == "" {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, dutyQuestionTimeout)
		reply, err := m.Peers.Call(callCtx, to, &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_DutyOffer{
			DutyOffer: &peerpb.DutyOffer{Duty: t.name, Epoch: t.epoch, Term: int64(t.term + 1)},
		}})
		cancel()
		if err == nil && reply.GetDutyAnswer().GetHeld() {
			return
		}
		refused[to] = true
	}
}

// successor returns the member that should hold a duty if those in without can't, or "" if there is none.
func (m *Manager) successor(name string, without map[string]bool) string {
	excluded := func(member string) bool { return without[member] }
	m.mu.Lock()
	defer m.mu.Unlock()
	members := slices.DeleteFunc(m.failureDetector.All(), excluded)
	duties := make(map[string]duty.Duty, len(m.holderRows))
	for other, row := range m.holderRows {
		duties[other] = duty.Duty{Holder: row.Holder}
	}
	return duty.Assignment(duties, duty.Membership{
		Live: members, Stable: slices.DeleteFunc(m.failureDetector.Stable(maxEchoAge), excluded), Capacities: m.capacities(members),
	})[name]
}

// handleDutyOffer accepts a duty that another member has ended, if this one takes duties.
func (m *Manager) handleDutyOffer(_ context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	offer := message.GetDutyOffer()
	name, row := offer.GetDuty(), versionedHolder{
		holderRow: holderRow{Holder: from, Term: int(offer.GetTerm())}, version: offer.GetEpoch(), ended: true,
	}
	known := slices.Contains(m.dutyNames(), name)
	m.mu.Lock()
	current := m.holderRows[name]
	sentByHolder := current.version < row.version || (current.version == row.version && current.Holder == from)
	accepted := known && m.takesDuties && !m.leaving && m.tenures[name] == nil && sentByHolder
	if accepted {
		m.dutyOffers[name] = row
	}
	m.mu.Unlock()
	if accepted {
		select {
		case m.dutyOffered <- struct{}{}:
		default:
		}
	}
	return m.newDutyAnswer(accepted)
}

// awaitDutyCheck waits until duties are to be checked again. It returns false if ctx has ended.
func (m *Manager) awaitDutyCheck(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(dutyCheckInterval):
	case <-m.dutyOffered:
	}
	return true
}

// takeOfferedDuties takes the duties that were offered. It keeps those that the store refused, until another member has
// taken them.
func (m *Manager) takeOfferedDuties(ctx context.Context) {
	m.mu.Lock()
	offers := maps.Clone(m.dutyOffers)
	m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(offers)) {
		row := offers[name]
		m.mu.Lock()
		known := m.holderRows[name]
		open := known.version <= row.version && m.tenures[name] == nil
		if open {
			row = known.offered(row, time.Now())
			m.holderRows[name] = row
		} else {
			delete(m.dutyOffers, name)
		}
		m.mu.Unlock()
		if open {
			m.takeDuty(ctx, name, row)
		}
	}
}
