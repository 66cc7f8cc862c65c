package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"siskincross/core/config"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
)

const (
	// forwardTimeout bounds the wait for the committer before the change is attempted here.
	forwardTimeout = 12 * time.Second
	// decideTimeout bounds the committer's attempts. It is the shorter one, so that
	// the answer that a change was taken back still arrives in time.
	decideTimeout = 10 * time.Second
	// maxForwards bounds the committers that a change is handed to, so that time is left to attempt it here.
	maxForwards = 2
)

// committer returns the member that commits for all: the first of the live
// ones. It is a rule against needless races only. Any member may commit at any
// time, because each commit is conditional on the head.
func (m *Manager) committer() string {
	return m.members()[0]
}

// forward hands a change to the committer, and to the next one when that has
// left meanwhile. It returns the version if its commit is known, and whether
// some committer may still commit the change.
func (m *Manager) forward(ctx context.Context, change Change) (version config.Version, open bool) {
	tried := ""
	for range maxForwards {
		if m.Link.Call == nil || ctx.Err() != nil {
			break
		}
		committer := m.committer()
		if committer == m.Member || committer == tried {
			break
		}
		outcome := m.forwardTo(ctx, committer, change)
		if outcome.GetVersion() != 0 {
			return config.Version(outcome.GetVersion()), false
		}
		tried, open = committer, open || !outcome.GetRefused()
	}
	return 0, open
}

// forwardTo returns the committer's answer; an empty one when there is none.
func (m *Manager) forwardTo(ctx context.Context, committer string, change Change) *peerpb.ConfigOutcome {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := m.Link.Call(ctx, committer, changeMessage(change))
	var absent peer.ErrNotConnected
	if errors.As(err, &absent) {
		return &peerpb.ConfigOutcome{Refused: true}
	}
	if err != nil {
		m.scope().Counter("failed-forwards").Inc(1)
	}
	return reply.GetConfigOutcome()
}

func changeMessage(c Change) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigChange{ConfigChange: &peerpb.ConfigChange{
		Id:           c.ID,
		Organisation: c.Organisation,
		Template:     c.Template,
		Parameters:   c.Parameters,
		From:         uint64(c.From),
		Restores:     uint64(c.Restores),
	}}}
}

// handleChange commits a change whose source its sender has stored.
func (m *Manager) handleChange(ctx context.Context, _ string, message *peerpb.Envelope) *peerpb.Envelope {
	sent := message.GetConfigChange()
	change := Change{
		ID:           sent.GetId(),
		Organisation: sent.GetOrganisation(),
		Template:     sent.GetTemplate(),
		Parameters:   sent.GetParameters(),
		From:         config.Version(sent.GetFrom()),
		Restores:     config.Version(sent.GetRestores()),
	}
	part, err := change.source().Expand()
	if err != nil || change.ID == "" {
		return refusal("the change is not valid here")
	}
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	r := newRequest(ctx, change, part)
	r.forwarded = true
	accepted, err := m.submit(ctx, r)
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigOutcome{
		ConfigOutcome: &peerpb.ConfigOutcome{Version: uint64(accepted.Version), Refused: isRefused(err)},
	}}
}

// isRefused reports whether a change is known not to be committed here.
func isRefused(err error) bool {
	var conflict ErrConflict
	var notAccepted ErrNotAccepted
	return errors.As(err, &conflict) || errors.As(err, &notAccepted)
}
