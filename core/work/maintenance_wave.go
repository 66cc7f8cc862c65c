package work

import "time"

// Wave asks for the maintenance of hosts.
type Wave struct {
	Number int
	// Name is the wave's name in the operators' rows.
	Name  string
	Hosts []string
	// Within is the time from the wave's arrival in which all its hosts should have begun.
	Within time.Duration
	// AtOnce is how many hosts may be down for the wave at the same time.
	AtOnce int
}
