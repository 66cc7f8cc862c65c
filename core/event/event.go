// Package event defines the numbered events of the timeline and the logs.
//
// Each subsystem defines its events in a file of its own, in a range of one hundred numbers. docs/EVENTS.md is
// generated from the catalogue.
package event

import "slices"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Number -transform=kebab -text -output=number_enumer.go

// Number identifies a kind of event. Numbers are never reused for another kind.
type Number int

// ID identifies one event. IDs are unique across all processes.
type ID string

// Event is one entry of the timeline.
type Event struct {
	Number Number `json:"number"`
	ID     ID     `json:"id"`
	// Cause is the event that caused this one; empty if the cause is outside of the system.
	Cause ID `json:"cause,omitempty"`
	// Process is the name of the entry host that recorded the event.
	Process string `json:"process"`
	// Time is the reading of the recording process's hybrid logical clock.
	Time Timestamp `json:"time"`

	Organisation string `json:"organisation,omitempty"`
	Pool         string `json:"pool,omitempty"`
	Host         string `json:"host,omitempty"`
	Job          string `json:"job,omitempty"`
	Request      string `json:"request,omitempty"`
	// Detail is free text for people. Programs should use the other fields.
	Detail string `json:"detail,omitempty"`
}

// CatalogueEntry describes one kind of event.
type CatalogueEntry struct {
	Number Number
	// Subsystem is the name by which logs of the event are enabled.
	Subsystem string
	// Meaning describes in one sentence what happened.
	Meaning string
}

// Catalogue returns all kinds of events, ordered by number.
func Catalogue() []CatalogueEntry {
	groups := [][]CatalogueEntry{
		processEntries,
		requestEntries,
		fleetEntries,
		jobEntries,
		configEntries,
		peerEntries,
		platformEntries,
		workEntries,
	}
	var all []CatalogueEntry
	for _, group := range groups {
		all = append(all, group...)
	}
	return all
}

// Subsystem returns the name of the subsystem that records events with number n.
func (n Number) Subsystem() string {
	for _, entry := range Catalogue() {
		if entry.Number == n {
			return entry.Subsystem
		}
	}
	return ""
}

// Subsystems returns the names of all subsystems, ordered by their numbers.
func Subsystems() []string {
	var names []string
	for _, entry := range Catalogue() {
		if !slices.Contains(names, entry.Subsystem) {
			names = append(names, entry.Subsystem)
		}
	}
	return names
}
