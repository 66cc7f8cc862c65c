package rollout

import (
	"context"
	"fmt"

	"siskincross/core/config"
	"siskincross/core/event"
)

// maxReadBack bounds the records that one read asks for.
const maxReadBack = 128

// settle answers the changes that the head decides: those that turn out to be
// committed, and those made from another version. It returns the others.
func (m *Manager) settle(ctx context.Context, h head, batch []*request) ([]*request, error) {
	var rest []*request
	for i, r := range batch {
		version, err := m.findCommitted(ctx, h, r)
		if err != nil {
			return append(rest, batch[i:]...), err
		}
		switch {
		case version != 0:
			m.resolved(ctx, r, version)
		case h.Organisations[r.change.Organisation].Version != r.change.From:
			r.result <- result{err: m.conflict(ctx, h, r)}
		default:
			rest = append(rest, r)
		}
	}
	return rest, nil
}

// findCommitted returns the version that the change was committed as, or zero.
func (m *Manager) findCommitted(ctx context.Context, h head, r *request) (config.Version, error) {
	newest := h.Organisations[r.change.Organisation]
	if newest.Change == r.change.ID {
		return newest.Version, nil
	}
	if newest.Version <= r.change.From {
		// The organisation has not changed since, so this change is not committed.
		return 0, nil
	}
	// Each change of the organisation names the one it was made from, so the
	// change can only be the first after From.
	return m.successor(ctx, newest.Version, r.change)
}

// successor walks back from the organisation's newest version to the change that was made from change.From.
func (m *Manager) successor(ctx context.Context, newest config.Version, change Change) (config.Version, error) {
	at := newest
	for range maxReadBack {
		records, err := m.readRecords(ctx, []config.Version{at})
		if err != nil {
			return 0, err
		}
		if len(records) == 0 || records[0].From <= change.From {
			if len(records) > 0 && records[0].Change == change.ID {
				return at, nil
			}
			return 0, nil
		}
		at = records[0].From
	}
	return 0, nil
}

// resolved answers a change that was read back as committed.
func (m *Manager) resolved(ctx context.Context, r *request, v config.Version) {
	m.record(event.Event{
		Number: event.CommitOutcomeResolved, Organisation: r.change.Organisation,
		Detail: fmt.Sprintf("change %s is version %d", r.change.ID, v),
	})
	m.noteAccepted(r, v)
	if err := m.poll(ctx); err == nil {
		m.push()
	}
	m.checkRollouts()
	r.result <- result{accepted: Acceptance{Version: v, Change: r.change.ID}}
}

// conflict tells what changed since the version that the change was made from.
func (m *Manager) conflict(ctx context.Context, h head, r *request) error {
	organisation := r.change.Organisation
	conflict := ErrConflict{
		Organisation: organisation, From: r.change.From, Actual: h.Organisations[organisation].Version,
	}
	conflict.Differences = m.differencesSince(ctx, conflict)
	m.record(event.Event{
		Number: event.ConfigRefused, Organisation: organisation,
		Detail: fmt.Sprintf("change %s was made from version %d, not %d", r.change.ID, conflict.From, conflict.Actual),
	})
	return conflict
}

// differencesSince compares the two versions of a conflict. It is a service to
// the operator, so it returns nothing rather than fail when a source can't be read.
func (m *Manager) differencesSince(ctx context.Context, c ErrConflict) []config.Difference {
	before, err := m.part(ctx, c.From)
	if err != nil {
		return nil
	}
	after, err := m.part(ctx, c.Actual)
	if err != nil {
		return nil
	}
	return config.Differences(before, after)
}

// part returns one organisation's configuration as of the change that is version v; nothing for zero.
func (m *Manager) part(ctx context.Context, v config.Version) (config.Expanded, error) {
	if v == 0 {
		return config.Expanded{}, nil
	}
	_, source, err := m.shown(ctx, v)
	if err != nil {
		return config.Expanded{}, err
	}
	return source.Expand()
}
