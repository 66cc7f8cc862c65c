package measure

import (
	"context"
	"fmt"

	"siskincross/core/event"
	"siskincross/io/timeline"
)

// eventCounts are the numbers of kept events that the time line is measured at.
var eventCounts = []int{1024, 2048, 4096, 8192}

// timelineMeasurement is the memory of one process's time line by the number of kept events of one ring.
func timelineMeasurement() Measurement {
	return Measurement{
		Name: "timeline-memory", Unit: "bytes", Sizes: eventCounts,
		Meaning: "Live heap of one ring of the time line, by the events kept.",
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
			r.Now() // keeps the recorder alive until it was measured
			return memory, nil
		},
	}
}
