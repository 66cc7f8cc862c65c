package fleet

import "context"

// refusal is planned work that waits.
type refusal struct {
	reason string
}

// load is the demand on one pool as this entry host estimates it.
type load struct{}

func (m *Manager) planWork(ctx context.Context) {}
