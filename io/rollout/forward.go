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
	// forwardTimeout bounds the wait for the committer's reply before the change is
	// attempted locally.
	forwardTimeout = 12 * time.Second
	// committerTimeout bounds the committer's attempts. It is shorter than forwardTimeout,
	// so that the reply to an abandoned change still arrives in time.
	committerTimeout = 10 * time.Second
	// maxForwards bounds the committers that a change is forwarded to, so that time is left
	// to attempt it locally.
	maxForwards = 2
)

// committer returns the member that commits on behalf of all: the first live member. The
// rule only avoids needless races. Any member may commit at any time, because each commit
// is conditional on the head.
func (m *Manager) committer() string {
	return m.liveMembers()[0]
}

// forward sends a change to the committer, and to the next committer if the first one has
// left meanwhile. It returns the version if the commit is known to have succeeded, and
// whether some committer may still commit the change.
func (m *Manager) forward(ctx context.Context, change Change) (version config.Version, mayCommit bool) {
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
		tried, mayCommit = committer, mayCommit || !outcome.GetRefused()
	}
	return 0, mayCommit
}

// forwardTo returns the committer's reply, or an empty one if there is none.
func (m *Manager) forwardTo(ctx context.Context, committer string, change Change) *peerpb.ConfigOutcome {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := m.Link.Call(ctx, committer, changeMessage(change))
	var notConnected peer.ErrNotConnected
	if errors.As(err, &notConnected) {
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

// handleForwardedChange commits a change whose source the sender has stored.
func (m *Manager) handleForwardedChange(ctx context.Context, _ string, message *peerpb.Envelope) *peerpb.Envelope {
	sent := message.GetConfigChange()
	change := Change{
		ID:           sent.GetId(),
		Organisation: sent.GetOrganisation(),
		Template:     sent.GetTemplate(),
		Parameters:   sent.GetParameters(),
		From:         config.Version(sent.GetFrom()),
		Restores:     config.Version(sent.GetRestores()),
	}
	expanded, err := change.source().Expand()
	if err != nil || change.ID == "" {
		return errorReply("the change is not valid on this entry host")
	}
	ctx, cancel := context.WithTimeout(ctx, committerTimeout)
	defer cancel()
	r := newRequest(change, expanded)
	r.forwarded = true
	accepted, err := m.submit(ctx, r)
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigOutcome{
		ConfigOutcome: &peerpb.ConfigOutcome{Version: uint64(accepted.Version), Refused: isRefused(err)},
	}}
}

// isRefused reports whether an error shows that the change was not committed here.
func isRefused(err error) bool {
	var conflict ErrConflict
	var notAccepted ErrNotAccepted
	return errors.As(err, &conflict) || errors.As(err, &notAccepted)
}
