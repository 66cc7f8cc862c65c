package measure

import (
	"context"
	"fmt"

	"siskincross/core/event"
	"siskincross/io/timeline"
)

// eventCounts are the ring capacities at which the timeline is measured.
var eventCounts = []int{1024, 2048, 4096, 8192}

// timelineMeasurement returns the series of the memory of one ring of the timeline, by its number of events.
func timelineMeasurement() Measurement {
	return Measurement{
		Name: "timeline-memory", Unit: "bytes", Sizes: eventCounts,
		Meaning: "Live heap of one ring of the timeline, by the number of stored events.",
		Run: func(_ context.Context, count int) (float64, error) {
			before := liveHeap()
			r := &timeline.Recorder{Process: "entry-1", Capacity: count}
			for i := range count {
				r.Record(event.Event{
					Number:       event.RequestAnswered,
					Organisation: organisation,
					Pool:         organisation + "/" + poolName(0),
					Host:         fmt.Sprintf("host-%04d", i),
					Request:      fmt.Sprintf("01M8Z1945J3VCXQ0Y2ME%06d", i),
				})
			}
			memory := liveHeap() - before
			r.Now() // keeps the recorder reachable during the measurement
			return memory, nil
		},
	}
}
