package resource

import "fmt"

// Min returns the smaller amount of each resource.
func (a Amount) Min(o Amount) Amount {
	return Amount{min(a.MilliCores, o.MilliCores), min(a.MemoryMB, o.MemoryMB), min(a.Accelerators, o.Accelerators)}
}

// Times returns n times the amount.
func (a Amount) Times(n int) Amount {
	return Amount{a.MilliCores * n, a.MemoryMB * n, a.Accelerators * n}
}

// DividedBy returns the amount divided by n, rounded down.
func (a Amount) DividedBy(n int) Amount {
	return Amount{a.MilliCores / n, a.MemoryMB / n, a.Accelerators / n}
}

// LimitedBy returns the amount of the resources that a limit bounds, and zero of the others.
func (a Amount) LimitedBy(limit Amount) Amount {
	if limit.MilliCores == 0 {
		a.MilliCores = 0
	}
	if limit.MemoryMB == 0 {
		a.MemoryMB = 0
	}
	if limit.Accelerators == 0 {
		a.Accelerators = 0
	}
	return a
}

// String returns the amount with units.
func (a Amount) String() string {
	return fmt.Sprintf("%d milli-cores, %d MB, %d accelerators", a.MilliCores, a.MemoryMB, a.Accelerators)
}
