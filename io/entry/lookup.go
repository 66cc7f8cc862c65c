package entry

import "siskincross/core/config"

// configIndex finds queues and teams of one configuration by name.
type configIndex struct {
	version config.Version
	queues  map[string]config.Queue
	teams   map[string]config.Team
}

// lookup returns the index of the configuration that is in force.
func (s *Server) lookup() *configIndex {
	expanded := s.Config()
	index := s.index.Load()
	if index != nil && index.version == expanded.Version {
		return index
	}
	index = newConfigIndex(expanded)
	s.index.Store(index)
	return index
}

func newConfigIndex(expanded config.Expanded) *configIndex {
	index := &configIndex{
		version: expanded.Version,
		queues:  make(map[string]config.Queue, len(expanded.Queues)),
		teams:   make(map[string]config.Team, len(expanded.Teams)),
	}
	for _, q := range expanded.Queues {
		index.queues[q.Name] = q
	}
	for _, t := range expanded.Teams {
		index.teams[t.Name] = t
	}
	return index
}
