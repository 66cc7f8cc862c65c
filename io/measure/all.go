package measure

import "slices"

// Sizes are the numbers of hosts that series are measured at, up to the size designed for.
var Sizes = []int{48, 300, 900, 2700}

// ShortSizes are enough to see that the measurements work.
var ShortSizes = []int{48, 96}

// AllMeasurements returns every measurement over the sizes.
func AllMeasurements(sizes []int) []Measurement {
	var footprints Footprints
	all := append(footprints.Measurements(sizes), configurationMeasurements(sizes)...)
	return append(all, timelineMeasurement())
}

// SelectByName returns the measurements of those names, or all when there are no names.
func SelectByName(all []Measurement, names []string) []Measurement {
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(m Measurement) bool {
		return !slices.Contains(names, m.Name)
	})
}
