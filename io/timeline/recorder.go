// Package timeline records the events of one process and merges those of all processes.
package timeline

import (
	"fmt"
	"sync"
	"time"

	"siskincross/core/event"
)

// defaultCapacity is the number of events that a Recorder keeps when Capacity is zero.
const defaultCapacity = 8192

// Recorder keeps the newest events of one process in memory. The zero value
// records under an empty process name. Its methods may be called from any goroutine.
type Recorder struct {
	// Process names the entry host in events.
	Process string
	// Capacity bounds the events kept; zero means 8192.
	Capacity int
	// Sink receives every event after it was stamped; nil means none. It must not block.
	Sink func(event.Event)

	mu     sync.Mutex
	clock  event.Timestamp
	serial uint64
	// ring holds the newest events; next is the index that is overwritten next once it is full.
	ring []event.Event
	next int
}

// Record stamps e with the process, an ID and the hybrid logical clock, keeps it and returns its ID.
func (r *Recorder) Record(e event.Event) event.ID {
	e = r.keep(e)
	if r.Sink != nil {
		r.Sink(e)
	}
	return e.ID
}

// Now advances the hybrid logical clock and returns its reading, to be sent with a message.
func (r *Recorder) Now() event.Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Next(time.Now())
	return r.clock
}

// Observe merges the clock reading of a received message.
func (r *Recorder) Observe(remote event.Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Merge(remote, time.Now())
}

// Events returns the kept events, oldest first.
func (r *Recorder) Events() []event.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]event.Event, 0, len(r.ring))
	events = append(events, r.ring[r.next:]...)
	return append(events, r.ring[:r.next]...)
}

func (r *Recorder) keep(e event.Event) event.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Next(time.Now())
	r.serial++
	e.Process = r.Process
	e.Time = r.clock
	e.ID = event.ID(fmt.Sprintf("%s-%d", r.Process, r.serial))
	r.insert(e)
	return e
}

func (r *Recorder) insert(e event.Event) {
	limit := r.Capacity
	if limit == 0 {
		limit = defaultCapacity
	}
	if len(r.ring) < limit {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % limit
}
