package rollout

import (
	"context"
	"time"

	"siskincross/core/config"
	"siskincross/io/peer/peerpb"
)

// forwardTimeout bounds the wait for the committer before the change is attempted here.
const forwardTimeout = 8 * time.Second

// committer returns the member that commits for all: the first of the live
// ones. It is a rule against needless races only. Any member may commit at any
// time, because each commit is conditional on the head.
func (m *Manager) committer() string {
	return m.members()[0]
}

// forward hands a change to the committer, and to the next one when that has
// left meanwhile. It returns the version if its commit is known, and whether
// some committer may have got the change at all.
func (m *Manager) forward(ctx context.Context, change Change) (version config.Version, sent bool) {
	tried := ""
	for m.Link.Call != nil && ctx.Err() == nil {
		committer := m.committer()
		if committer == m.Member || committer == tried {
			break
		}
		if v := m.forwardTo(ctx, committer, change); v != 0 {
			return v, true
		}
		tried, sent = committer, true
	}
	return 0, sent
}

// forwardTo returns the version that the committer knows the change to be committed as, or zero.
func (m *Manager) forwardTo(ctx context.Context, committer string, change Change) config.Version {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := m.Link.Call(ctx, committer, changeMessage(change))
	if err != nil {
		m.scope().Counter("failed-forwards").Inc(1)
		return 0
	}
	return config.Version(reply.GetConfigOutcome().GetVersion())
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
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r := newRequest(ctx, change, part)
	r.forwarded = true
	accepted, _ := m.submit(ctx, r)
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigOutcome{
		ConfigOutcome: &peerpb.ConfigOutcome{Version: uint64(accepted.Version)},
	}}
}
