package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"siskincross/core/config"
)

// repetitions is the number of calls over which the time of a short computation is averaged.
const repetitions = 20

// configurationMeasurements returns the series of the size and the expansion time of a configuration, by fleet size.
func configurationMeasurements(sizes []int) []Measurement {
	return []Measurement{
		{
			Name: "configuration-bytes", Unit: "bytes", Sizes: sizes,
			Meaning: "The expanded configuration as it is pushed to each entry host.",
			Run: func(_ context.Context, size int) (float64, error) {
				encoded, err := expandEncoded(size)
				return float64(len(encoded)), err
			},
		},
		{
			Name: "configuration-expansion", Unit: "µs", Sizes: sizes,
			Meaning: "Processor time to expand, validate and encode a configuration once.",
			Run: func(_ context.Context, size int) (float64, error) {
				return meanMicroseconds(func() error {
					_, err := expandEncoded(size)
					return err
				})
			},
		},
	}
}

// expandEncoded expands a configuration with size hosts and returns it encoded as JSON.
func expandEncoded(size int) ([]byte, error) {
	source := config.Source{
		Organisation: organisation,
		Template:     templateText(size),
		Parameters:   parametersText(),
	}
	expanded, err := source.Expand()
	if err != nil {
		return nil, err
	}
	return json.Marshal(expanded)
}

func parametersText() string {
	return fmt.Sprintf("organisation = %q\ntemplate = \"measured\"\n", organisation)
}

// meanMicroseconds returns the mean duration of a call in microseconds.
func meanMicroseconds(call func() error) (float64, error) {
	started := time.Now()
	for range repetitions {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(time.Since(started).Microseconds()) / repetitions, nil
}
