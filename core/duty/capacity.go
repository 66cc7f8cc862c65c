package duty

// Capacity is what an entry host's process may use. Fields that are zero are unknown, as in rows of versions that did not write them.
type Capacity struct {
	// MilliCores is the processor time a second, in thousandths of a core.
	MilliCores int `json:"milli-cores,omitempty"`
	LinkMbps   int `json:"link-mbps,omitempty"`
	MemoryMB   int `json:"memory-mb,omitempty"`
}

const (
	// coresPerLink is the processor time in thousandths of a core that a Mbit/s can serve: a holder that uses a whole core reads and
	// writes rows and calls workers with up to 100 Mbit/s.
	coresPerLink = 10
	// coresPerMemory is the processor time in thousandths of a core that a MB can serve: a core's work keeps up to 500 MB.
	coresPerMemory = 2
)

// usable returns the processor time that the link and the memory allow to use for duties, or zero if it is unknown.
func (c Capacity) usable() int {
	if c.MilliCores <= 0 {
		return 0
	}
	usable := c.MilliCores
	if c.LinkMbps > 0 {
		usable = min(usable, c.LinkMbps*coresPerLink)
	}
	if c.MemoryMB > 0 {
		usable = min(usable, c.MemoryMB*coresPerMemory)
	}
	return usable
}

// usables returns the usable capacity of each member. Members of unknown capacity count as the weakest that is known; if none is
// known, all are equal.
func usables(members []string, capacities map[string]Capacity) map[string]float64 {
	weakest := 0
	for _, member := range members {
		if usable := capacities[member].usable(); usable > 0 && (weakest == 0 || usable < weakest) {
			weakest = usable
		}
	}
	result := make(map[string]float64, len(members))
	for _, member := range members {
		usable := capacities[member].usable()
		if usable == 0 {
			usable = max(weakest, 1)
		}
		result[member] = float64(usable)
	}
	return result
}
