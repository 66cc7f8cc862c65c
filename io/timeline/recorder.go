// Package timeline records the events of one process and merges the events of several processes.
package timeline

import (
	"fmt"
	"sync"
	"time"

	"siskincross/core/event"
)

// defaultCapacity is the capacity of each ring of a Recorder if Capacity is zero.
const defaultCapacity = 8192

// Recorder keeps the newest events of one process in memory. Events of debug level, which
// concern single requests and jobs, have a ring buffer of their own, so that many of them do not
// evict the few events about the fleet. The zero value records under an empty process
// name. The methods may be called from any goroutine.
type Recorder struct {
	// Process is the name of the entry host in events.
	Process string
	// Capacity is the maximum number of events in each ring; zero means 8192.
	Capacity int
	// Sink receives every event with its timestamp and ID; nil means none. It must not block.
	Sink func(event.Event)

	mu    sync.Mutex
	clock event.Timestamp
	// serial numbers the events for their IDs.
	serial uint64
	// requests holds the events of debug level, others all other events.
	requests, others ring
}

// ring is a ring buffer of the newest events.
type ring struct {
	events []event.Event
	// next is the index that the next event overwrites once the buffer is full.
	next int
}

// Record stores e with the process, an ID and a timestamp of the hybrid logical clock, and returns the ID.
func (r *Recorder) Record(e event.Event) event.ID {
	e = r.stampAndStore(e)
	if r.Sink != nil {
		r.Sink(e)
	}
	return e.ID
}

// Now advances the hybrid logical clock and returns its timestamp, to be sent with a message.
func (r *Recorder) Now() event.Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Next(time.Now())
	return r.clock
}

// Observe merges the timestamp of a received message into the hybrid logical clock.
func (r *Recorder) Observe(remote event.Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Merge(remote, time.Now())
}

// Events returns the stored events, oldest first.
func (r *Recorder) Events() []event.Event {
	r.mu.Lock()
	requests, others := r.requests.snapshot(), r.others.snapshot()
	r.mu.Unlock()
	return Merge(requests, others)
}

// stampAndStore sets the process, timestamp and ID of e, adds it to its ring and returns it.
func (r *Recorder) stampAndStore(e event.Event) event.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Next(time.Now())
	r.serial++
	e.Process = r.Process
	e.Time = r.clock
	e.ID = event.ID(fmt.Sprintf("%s-%d", r.Process, r.serial))
	if e.Number.Level() == event.LevelDebug {
		r.requests.add(e, r.ringCapacity())
	} else {
		r.others.add(e, r.ringCapacity())
	}
	return e
}

func (r *Recorder) ringCapacity() int {
	if r.Capacity == 0 {
		return defaultCapacity
	}
	return r.Capacity
}

// add appends e, or overwrites the oldest event once the ring holds capacity events.
func (r *ring) add(e event.Event, capacity int) {
	if len(r.events) < capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % capacity
}

// snapshot returns the events, oldest first.
func (r *ring) snapshot() []event.Event {
	list := make([]event.Event, 0, len(r.events))
	list = append(list, r.events[r.next:]...)
	return append(list, r.events[:r.next]...)
}
