// Package resource holds amounts of the resources that tasks need, workers offer and organisations may use.
package resource

// Amount is an amount of each kind of resource.
type Amount struct {
	// MilliCores is in thousandths of a core.
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Add returns the sum of both amounts.
func (a Amount) Add(o Amount) Amount {
	return Amount{a.MilliCores + o.MilliCores, a.MemoryMB + o.MemoryMB, a.Accelerators + o.Accelerators}
}

// Sub returns a less o.
func (a Amount) Sub(o Amount) Amount {
	return Amount{a.MilliCores - o.MilliCores, a.MemoryMB - o.MemoryMB, a.Accelerators - o.Accelerators}
}

// Max returns the larger amount of each resource.
func (a Amount) Max(o Amount) Amount {
	return Amount{max(a.MilliCores, o.MilliCores), max(a.MemoryMB, o.MemoryMB), max(a.Accelerators, o.Accelerators)}
}

// Covers reports whether a has at least as much of each resource as o.
func (a Amount) Covers(o Amount) bool {
	return o.MilliCores <= a.MilliCores && o.MemoryMB <= a.MemoryMB && o.Accelerators <= a.Accelerators
}

// WithinLimit reports whether a does not exceed a limit, in which zero means no limit of that resource.
func (a Amount) WithinLimit(limit Amount) bool {
	return within(a.MilliCores, limit.MilliCores) && within(a.MemoryMB, limit.MemoryMB) && within(a.Accelerators, limit.Accelerators)
}

func within(value, limit int) bool { return limit == 0 || value <= limit }
