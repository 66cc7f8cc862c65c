package rollout

import (
	"context"
	"sort"

	"siskincross/core/config"
)

const (
	// historyWindow is the number of versions that one scan of the history covers.
	historyWindow = 256
	// defaultHistory is the length of a history without a limit.
	defaultHistory = 20
)

// Organisation is the newest version of one organisation.
type Organisation struct {
	Name    string         `json:"name"`
	Version config.Version `json:"version"`
}

// Organisations returns the organisations with their newest accepted versions, ordered by name.
func (m *Manager) Organisations(ctx context.Context) ([]Organisation, error) {
	h, _, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]Organisation, 0, len(h.Organisations))
	for name, o := range h.Organisations {
		list = append(list, Organisation{Name: name, Version: o.Version})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// History returns the newest accepted changes, newest first. An empty
// organisation means all; a limit of zero means 20.
func (m *Manager) History(ctx context.Context, organisation string, limit int) ([]Record, error) {
	if limit <= 0 {
		limit = defaultHistory
	}
	h, _, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	found := []Record{}
	for last := h.Version; last > 0 && len(found) < limit; {
		first := last - min(last, historyWindow)
		window, err := m.window(ctx, first, int(last-first))
		if err != nil {
			return nil, err
		}
		if len(window) == 0 {
			break
		}
		for i := len(window) - 1; i >= 0 && len(found) < limit; i-- {
			if organisation == "" || window[i].Organisation == organisation {
				found = append(found, window[i])
			}
		}
		last = first
	}
	return found, nil
}

// window returns the records of up to count versions above first.
func (m *Manager) window(ctx context.Context, first config.Version, count int) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	rows, err := m.Table.Scan(ctx, versionPrefix, versionKey(first), count)
	if err != nil {
		return nil, err
	}
	return decodeRecords(rows)
}

// ChangeDetails is one accepted change with its texts.
type ChangeDetails struct {
	Record Record        `json:"record"`
	Source config.Source `json:"source"`
}

// Show returns one accepted change. It returns ErrVersionNotFound when it isn't kept.
func (m *Manager) Show(ctx context.Context, v config.Version) (ChangeDetails, error) {
	record, source, err := m.shown(ctx, v)
	return ChangeDetails{Record: record, Source: source}, err
}

func (m *Manager) shown(ctx context.Context, v config.Version) (Record, config.Source, error) {
	records, err := m.readRecords(ctx, []config.Version{v})
	if err != nil {
		return Record{}, config.Source{}, err
	}
	if len(records) == 0 {
		return Record{}, config.Source{}, ErrVersionNotFound{Version: v}
	}
	source, err := m.getSource(ctx, records[0].Change)
	return records[0], source, err
}

// Rollback applies the source of an earlier version of an organisation as a
// new, higher version. From is the organisation's version that the operator saw.
func (m *Manager) Rollback(ctx context.Context, organisation string, to, from config.Version) (Acceptance, error) {
	change, err := m.rollbackChange(ctx, organisation, to, from)
	if err != nil {
		return Acceptance{}, err
	}
	return m.Apply(ctx, change)
}

func (m *Manager) rollbackChange(ctx context.Context, organisation string, to, from config.Version) (Change, error) {
	record, source, err := m.shown(ctx, to)
	if err != nil {
		return Change{}, err
	}
	if record.Organisation != organisation {
		return Change{}, ErrVersionNotFound{Organisation: organisation, Version: to}
	}
	return Change{
		Organisation: organisation,
		Template:     source.Template,
		Parameters:   source.Parameters,
		From:         from,
		Restores:     to,
	}, nil
}

// Plan tells what a change would do, without doing it. A From of zero stands for the newest version.
func (m *Manager) Plan(ctx context.Context, change Change) (config.Plan, error) {
	part, err := change.source().Expand()
	if err != nil {
		return config.Plan{}, err
	}
	h, _, err := m.readHead(ctx)
	if err != nil {
		return config.Plan{}, err
	}
	newest := h.Organisations[change.Organisation].Version
	if change.From != 0 && change.From != newest {
		return config.Plan{}, m.conflict(ctx, h, &request{change: change})
	}
	base, err := m.planBase(ctx, h)
	if err != nil {
		return config.Plan{}, err
	}
	return config.NewPlan(change.Organisation, newest, base.ForOrganisation(change.Organisation), part), nil
}

func (m *Manager) planBase(ctx context.Context, h head) (config.Expanded, error) {
	if h.Version == 0 {
		return config.Expanded{}, nil
	}
	e, _, err := m.getExpanded(ctx, h)
	return e, err
}
