package duty

// Capacity is what the process of an entry host may use. A zero field is unknown, as in rows written by
// versions that lack the field.
type Capacity struct {
	// MilliCores is the available processor time per second, in thousandths of a core.
	MilliCores int `json:"milli-cores,omitempty"`
	LinkMbps   int `json:"link-mbps,omitempty"`
	MemoryMB   int `json:"memory-mb,omitempty"`
}

const (
	// milliCoresPerMbps is the processor time, in thousandths of a core, that 1 Mbit/s can support: a holder
	// that uses a whole core needs up to 100 Mbit/s to read and write rows and to call workers.
	milliCoresPerMbps = 10
	// milliCoresPerMB is the processor time, in thousandths of a core, that 1 MB can support: the work of a
	// whole core needs up to 500 MB.
	milliCoresPerMB = 2
)

// usableMilliCores returns the processor time that duties can use given the link and the memory, or zero if it
// is unknown.
func (c Capacity) usableMilliCores() int {
	if c.MilliCores <= 0 {
		return 0
	}
	usable := c.MilliCores
	if c.LinkMbps > 0 {
		usable = min(usable, c.LinkMbps*milliCoresPerMbps)
	}
	if c.MemoryMB > 0 {
		usable = min(usable, c.MemoryMB*milliCoresPerMB)
	}
	return usable
}

// usableCapacities returns the usable capacity of each member. A member of unknown capacity counts as the
// weakest known one; if none is known, all members are equal.
func usableCapacities(members []string, capacities map[string]Capacity) map[string]float64 {
	weakest := 0
	for _, member := range members {
		if usable := capacities[member].usableMilliCores(); usable > 0 && (weakest == 0 || usable < weakest) {
			weakest = usable
		}
	}
	result := make(map[string]float64, len(members))
	for _, member := range members {
		usable := capacities[member].usableMilliCores()
		if usable == 0 {
			usable = max(weakest, 1)
		}
		result[member] = float64(usable)
	}
	return result
}
