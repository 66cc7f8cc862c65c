package entry

import "siskincross/core/config"

// configIndex indexes the pools, queues and teams of one configuration version by name.
type configIndex struct {
	version config.Version
	pools   map[string]config.Pool
	queues  map[string]config.Queue
	teams   map[string]config.Team
}

// currentIndex returns the index of the configuration in force and caches it per version.
func (s *Server) currentIndex() *configIndex {
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
		pools:   make(map[string]config.Pool, len(expanded.Pools)),
		queues:  make(map[string]config.Queue, len(expanded.Queues)),
		teams:   make(map[string]config.Team, len(expanded.Teams)),
	}
	for _, p := range expanded.Pools {
		index.pools[p.Name] = p
	}
	for _, q := range expanded.Queues {
		index.queues[q.Name] = q
	}
	for _, t := range expanded.Teams {
		index.teams[t.Name] = t
	}
	return index
}
