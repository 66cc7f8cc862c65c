package jobs

import (
	"context"
	"sort"
	"strings"

	"siskincross/core/job"
)

// list returns a page of an organisation's jobs, ordered by pool and ID. after is the After field of an
// earlier page.
func (m *Manager) list(ctx context.Context, organisation, after string, limit int) (Page, error) {
	page := Page{Jobs: []job.Job{}}
	for _, pool := range m.sortedPools(organisation) {
		prefix := jobPrefix + pool + "/"
		start := ""
		if strings.HasPrefix(after, prefix) {
			start = after
		} else if after > prefix {
			continue
		}
		rows, err := m.scan(ctx, prefix, start, limit-len(page.Jobs))
		if err != nil {
			return Page{}, err
		}
		for _, row := range rows {
			j, err := decodeJob(row)
			if err != nil {
				return Page{}, err
			}
			page.Jobs = append(page.Jobs, j)
		}
		if len(page.Jobs) == limit {
			page.After = rows[len(rows)-1].Key
			return page, nil
		}
	}
	return page, nil
}

// sortedPools returns the full names of an organisation's pools in the order of their row keys.
func (m *Manager) sortedPools(organisation string) []string {
	var pools []string
	for _, p := range m.Config().Pools {
		if p.Organisation == organisation {
			pools = append(pools, p.Name)
		}
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i]+"/" < pools[j]+"/" })
	return pools
}
