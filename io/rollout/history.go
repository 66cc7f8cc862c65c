package rollout

import (
	"context"
	"sort"

	"siskincross/core/config"
)

const (
	// historyScanSize is the number of versions that one scan of the history covers.
	historyScanSize = 256
	// defaultHistoryLimit is the number of changes returned when no limit is given.
	defaultHistoryLimit = 20
)

// Organisation is an organisation and its newest accepted version.
type Organisation struct {
	Name    string         `json:"name"`
	Version config.Version `json:"version"`
}

// Organisations returns the organisations with their newest accepted versions, sorted by
// name.
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

// History returns the newest accepted changes, newest first. An empty organisation selects
// all organisations. A limit of zero selects 20 changes.
func (m *Manager) History(ctx context.Context, organisation string, limit int) ([]Record, error) {
	if limit <= 0 {
		limit = defaultHistoryLimit
	}
	h, _, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	found := []Record{}
	for last := h.Version; last > 0 && len(found) < limit; {
		first := last - min(last, historyScanSize)
		records, err := m.scanRecords(ctx, first, int(last-first))
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			break
		}
		for i := len(records) - 1; i >= 0 && len(found) < limit; i-- {
			if organisation == "" || records[i].Organisation == organisation {
				found = append(found, records[i])
			}
		}
		last = first
	}
	return found, nil
}

// scanRecords returns the records of up to count versions above first.
func (m *Manager) scanRecords(ctx context.Context, first config.Version, count int) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	rows, err := m.Table.Scan(ctx, versionPrefix, versionKey(first), count)
	if err != nil {
		return nil, err
	}
	return decodeRecords(rows)
}

// ChangeDetails is an accepted change with its source.
type ChangeDetails struct {
	Record Record        `json:"record"`
	Source config.Source `json:"source"`
}

// Show returns an accepted change. It returns ErrVersionNotFound if the change is not kept.
func (m *Manager) Show(ctx context.Context, v config.Version) (ChangeDetails, error) {
	record, source, err := m.readChange(ctx, v)
	return ChangeDetails{Record: record, Source: source}, err
}

func (m *Manager) readChange(ctx context.Context, v config.Version) (Record, config.Source, error) {
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

// Rollback applies the source of an earlier version of an organisation as a new, higher
// version. The parameter from is the organisation's version on which the operator based the
// decision.
func (m *Manager) Rollback(ctx context.Context, organisation string, to, from config.Version) (Acceptance, error) {
	change, err := m.rollbackChange(ctx, organisation, to, from)
	if err != nil {
		return Acceptance{}, err
	}
	return m.Apply(ctx, change)
}

func (m *Manager) rollbackChange(ctx context.Context, organisation string, to, from config.Version) (Change, error) {
	record, source, err := m.readChange(ctx, to)
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

// Plan returns what a change would do, without applying it. If change.From is zero, the
// change is based on the newest version.
func (m *Manager) Plan(ctx context.Context, change Change) (config.Plan, error) {
	expanded, err := change.source().Expand()
	if err != nil {
		return config.Plan{}, err
	}
	h, _, err := m.readHead(ctx)
	if err != nil {
		return config.Plan{}, err
	}
	newest := h.Organisations[change.Organisation].Version
	if change.From != 0 && change.From != newest {
		return config.Plan{}, m.newConflict(ctx, h, &request{change: change})
	}
	base, err := m.planBase(ctx, h)
	if err != nil {
		return config.Plan{}, err
	}
	return config.NewPlan(change.Organisation, newest, base.ForOrganisation(change.Organisation), expanded), nil
}

func (m *Manager) planBase(ctx context.Context, h head) (config.Expanded, error) {
	if h.Version == 0 {
		return config.Expanded{}, nil
	}
	e, _, err := m.getExpanded(ctx, h)
	return e, err
}
