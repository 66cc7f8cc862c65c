package measure

import "slices"

// Sizes are the fleet sizes in hosts that are measured, up to the design size.
var Sizes = []int{48, 300, 900, 2700}

// ShortSizes are small fleet sizes for checking that the measurements run.
var ShortSizes = []int{48, 96}

// AllMeasurements returns all measurements for the given fleet sizes.
func AllMeasurements(sizes []int) []Measurement {
	var footprints Footprints
	all := append(footprints.Measurements(sizes), configurationMeasurements(sizes)...)
	return append(all, timelineMeasurement())
}

// SelectByName returns the measurements with the given names, or all if there are no names.
func SelectByName(all []Measurement, names []string) []Measurement {
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(m Measurement) bool {
		return !slices.Contains(names, m.Name)
	})
}
