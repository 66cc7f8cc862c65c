// Package event defines the numbered events of the time line and the logs.
//
// Each subsystem numbers its events in a file of its own, in a range of one
// hundred. docs/EVENTS.md is generated from the catalogue.
package event

import "slices"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Number -transform=kebab -text -output=number_enumer.go

// Number identifies a kind of event. Numbers are never reused.
type Number int

// ID names one event of one process. IDs are unique over all processes.
type ID string

// Event is one entry of the time line.
type Event struct {
	Number Number `json:"number"`
	ID     ID     `json:"id"`
	// Cause is the event that led to this one; empty when the cause is outside the system.
	Cause ID `json:"cause,omitempty"`
	// Process names the entry host that recorded the event.
	Process string `json:"process"`
	// Time is the hybrid logical clock's reading at the recording process.
	Time Timestamp `json:"time"`

	Organisation string `json:"organisation,omitempty"`
	Pool         string `json:"pool,omitempty"`
	Host         string `json:"host,omitempty"`
	Job          string `json:"job,omitempty"`
	Request      string `json:"request,omitempty"`
	// Detail is free text for people. Programs use the other fields.
	Detail string `json:"detail,omitempty"`
}

// CatalogueEntry describes one kind of event in the catalogue.
type CatalogueEntry struct {
	Number Number
	// Subsystem is the name by which logs are switched on.
	Subsystem string
	// Meaning says in one sentence what happened.
	Meaning string
}

// Catalogue returns every kind of event, ordered by number.
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

// Subsystem returns the name of the subsystem that records n.
func (n Number) Subsystem() string {
	for _, entry := range Catalogue() {
		if entry.Number == n {
			return entry.Subsystem
		}
	}
	return ""
}

// Subsystems returns the names of all subsystems, in the order of their numbers.
func Subsystems() []string {
	var names []string
	for _, entry := range Catalogue() {
		if !slices.Contains(names, entry.Subsystem) {
			names = append(names, entry.Subsystem)
		}
	}
	return names
}
