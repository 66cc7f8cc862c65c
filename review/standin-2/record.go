package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is something that a requester, a worker or the platform has seen.
type event struct {
	At      time.Time
	Kind    string
	Task    string
	Attempt int
	Worker  string
	Detail  string
}

// record holds what was sent, answered and run, in its order.
type record struct {
	mu     sync.Mutex
	began  time.Time
	events []event
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Now()
	r.events = append(r.events, e)
}

func (r *record) note(kind, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Printf("%8.3f %s %s\n", time.Since(r.began).Seconds(), kind, text)
	r.add(event{Kind: kind, Detail: text})
}

// all returns a copy of the events.
func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// write writes the record to a file.
func (r *record) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, e := range r.all() {
		fmt.Fprintf(w, "%9.3f %-8s", e.At.Sub(r.began).Seconds(), e.Kind)
		if e.Task != "" {
			fmt.Fprintf(w, " %s attempt %d", e.Task, e.Attempt)
		}
		if e.Worker != "" {
			fmt.Fprintf(w, " at %s", e.Worker)
		}
		fmt.Fprintf(w, " %s\n", e.Detail)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
