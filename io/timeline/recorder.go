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

// Recorder keeps the newest events of one process in memory. Events of single
// requests and jobs have a ring of their own, so that a busy hour does not push out the
// few events that tell what happened to the fleet. The zero value records under
// an empty process name. Its methods may be called from any goroutine.
type Recorder struct {
	// Process names the entry host in events.
	Process string
	// Capacity bounds the events kept in each ring; zero means 8192.
	Capacity int
	// Sink receives every event after it was stamped; nil means none. It must not block.
	Sink func(event.Event)

	mu     sync.Mutex
	clock  event.Timestamp
	serial uint64
	// requests holds the events of single requests and jobs, others all the rest.
	requests, others ring
}

// ring holds the newest events; next is the index that is overwritten next once it is full.
type ring struct {
	events []event.Event
	next   int
}

// Record stamps e with the process, an ID and the hybrid logical clock, keeps it and returns its ID.
func (r *Recorder) Record(e event.Event) event.ID {
	e = r.stampAndStore(e)
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
	requests, others := r.requests.list(), r.others.list()
	r.mu.Unlock()
	return Merge(requests, others)
}

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

func (r *ring) add(e event.Event, limit int) {
	if len(r.events) < limit {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % limit
}

func (r *ring) list() []event.Event {
	list := make([]event.Event, 0, len(r.events))
	list = append(list, r.events[r.next:]...)
	return append(list, r.events[:r.next]...)
}
