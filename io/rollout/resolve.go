package rollout

import (
	"context"
	"fmt"

	"siskincross/core/config"
	"siskincross/core/event"
)

// resolveBatch answers the changes that the head resolves: those that turn out to be
// committed, and those based on a version that is not the newest. It returns the others.
func (m *Manager) resolveBatch(ctx context.Context, h head, batch []*request) ([]*request, error) {
	var rest []*request
	for i, r := range batch {
		version, err := m.findCommitted(ctx, h, r)
		if err != nil {
			return append(rest, batch[i:]...), err
		}
		switch {
		case version != 0:
			m.answerCommitted(ctx, r, version)
		case h.Organisations[r.change.Organisation].Version != r.change.From:
			r.result <- result{err: m.newConflict(ctx, h, r)}
		default:
			rest = append(rest, r)
		}
	}
	return rest, nil
}

// findCommitted returns the version under which the change was committed, or zero.
func (m *Manager) findCommitted(ctx context.Context, h head, r *request) (config.Version, error) {
	newest := h.Organisations[r.change.Organisation]
	if newest.Change == r.change.ID {
		return newest.Version, nil
	}
	if newest.Version <= r.change.From {
		// The organisation has not changed since, so the change has not been committed.
		return 0, nil
	}
	// Each change of an organisation names the version on which it is based, so the change
	// can only be the first one after From.
	return m.findSuccessor(ctx, newest.Version, r.change)
}

// findSuccessor searches the history up to the organisation's newest version for the first change after change.From. It
// returns its version if that is the given change, and zero otherwise or if the change is no longer kept.
func (m *Manager) findSuccessor(ctx context.Context, newest config.Version, change Change) (config.Version, error) {
	for last := change.From; last < newest; {
		records, err := m.scanRecords(ctx, last, historyScanSize)
		if err != nil || len(records) == 0 {
			return 0, err
		}
		for _, r := range records {
			if r.Organisation != change.Organisation {
				continue
			}
			if r.Change == change.ID {
				return r.Version, nil
			}
			return 0, nil
		}
		last = records[len(records)-1].Version
	}
	return 0, nil
}

// answerCommitted answers a change that was found to be committed.
func (m *Manager) answerCommitted(ctx context.Context, r *request, v config.Version) {
	m.record(event.Event{
		Number: event.CommitOutcomeResolved, Organisation: r.change.Organisation,
		Detail: fmt.Sprintf("change %s is version %d", r.change.ID, v),
	})
	m.recordAccepted(r, v)
	if err := m.poll(ctx); err == nil {
		m.broadcastCurrent()
	}
	m.recordCompletedRollouts()
	r.result <- result{accepted: Acceptance{Version: v, Change: r.change.ID}}
}

// newConflict records a conflict and returns it with the differences since the version on
// which the change is based.
func (m *Manager) newConflict(ctx context.Context, h head, r *request) error {
	organisation := r.change.Organisation
	conflict := ErrConflict{
		Organisation: organisation, From: r.change.From, Actual: h.Organisations[organisation].Version,
	}
	conflict.Differences = m.conflictDifferences(ctx, conflict)
	m.record(event.Event{
		Number: event.ConfigRefused, Organisation: organisation,
		Detail: fmt.Sprintf("change %s was made from version %d, not %d", r.change.ID, conflict.From, conflict.Actual),
	})
	return conflict
}

// conflictDifferences compares the two versions of a conflict. The differences only help
// the operator, so it returns nothing rather than fail when a source can't be read.
func (m *Manager) conflictDifferences(ctx context.Context, c ErrConflict) []config.Difference {
	before, err := m.expandVersion(ctx, c.From)
	if err != nil {
		return nil
	}
	after, err := m.expandVersion(ctx, c.Actual)
	if err != nil {
		return nil
	}
	return config.Differences(before, after)
}

// expandVersion returns the configuration of the organisation that version v changed, as of
// v. For version zero it is empty.
func (m *Manager) expandVersion(ctx context.Context, v config.Version) (config.Expanded, error) {
	if v == 0 {
		return config.Expanded{}, nil
	}
	_, source, err := m.readChange(ctx, v)
	if err != nil {
		return config.Expanded{}, err
	}
	return source.Expand()
}
