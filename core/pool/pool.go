// Package pool decides about the hosts of one pool: their states, the availability budget and the ownership of
// hosts.
//
// A Pool is the value of the pool's row. Every change is a method that returns a new Pool. The caller commits
// it on the condition that the row still has the version that the change was made from, so that of two
// concurrent holders of a duty only one succeeds.
package pool

import (
	"sort"
	"time"

	"siskincross/core/chart"
	"siskincross/core/host"
)

// Pool is the immutable value of the row of one pool.
type Pool struct {
	// Name is "organisation/pool".
	Name string `json:"name"`
	// Holder is the member that holds the pool's duty; empty if the duty was released without a successor.
	Holder string `json:"holder"`
	// Epoch is incremented with every change of Holder.
	Epoch uint64 `json:"epoch"`
	// Hosts holds the hosts of the pool, sorted by ID. A host is in the row of exactly one pool.
	Hosts []Host `json:"hosts,omitempty"`
	// Inbound holds the hosts that other pools drain for a move to this pool, sorted by ID.
	Inbound []Inbound `json:"inbound,omitempty"`
}

// Host is one host as recorded in the row of its pool.
type Host struct {
	ID       host.ID       `json:"id"`
	Address  string        `json:"address"`
	Place    host.Place    `json:"place"`
	Capacity host.Capacity `json:"capacity"`
	State    chart.State   `json:"state"`
	// Work is the planned work that the host is out of service for; zero if there is none.
	Work PlannedWork `json:"work,omitzero"`
	// BootCount is the number of starts in the platform's list before a reboot was ordered. A higher count
	// completes the reboot.
	BootCount int `json:"boot"`
	// StateSince is when the host entered State, by the clock of the holder at that time. No safety decision
	// depends on it.
	StateSince time.Time `json:"since"`
	// LastMaintained is when the host last returned from an ordered reboot, or when it was adopted.
	LastMaintained time.Time `json:"maintained"`
	// LastDrainAbandoned is when a drain of the host was last abandoned; zero if never.
	LastDrainAbandoned time.Time `json:"given-up,omitzero"`
	// LastMoved is when the host last moved to this pool from another; zero if never.
	LastMoved time.Time `json:"moved,omitzero"`
	// Reason explains the current state.
	Reason string `json:"reason,omitempty"`
	// Generation is the number of pools that the host has been in.
	Generation uint64 `json:"generation"`
}

// PlannedWork is a planned disruption of one host.
type PlannedWork struct {
	Purpose Purpose `json:"purpose"`
	// Operation is the idempotency key of the reboot, so that a repeated command restarts the host only once.
	Operation string `json:"operation"`
	// Destination is the target pool of a move.
	Destination string `json:"destination,omitempty"`
}

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Purpose -transform=kebab -text -json -trimprefix=Purpose -output=purpose_enumer.go

// Purpose is the reason for planned work.
type Purpose int

// Purposes of planned work.
const (
	PurposeNone Purpose = iota
	PurposeMaintenance
	PurposeMove
)

// Inbound is a host that another pool drains for a move to this pool.
type Inbound struct {
	Host host.ID `json:"host"`
	From string  `json:"from"`
}

// Ownership is the value of a host's own row: the pool that the host belongs to.
type Ownership struct {
	Pool       string `json:"pool"`
	Generation uint64 `json:"generation"`
}

// Host returns the host with the given ID.
func (p Pool) Host(id host.ID) (Host, bool) {
	i := p.index(id)
	if i == len(p.Hosts) || p.Hosts[i].ID != id {
		return Host{}, false
	}
	return p.Hosts[i], true
}

// WithHost returns p with h added or replaced.
func (p Pool) WithHost(h Host) Pool {
	i := p.index(h.ID)
	replaced := i < len(p.Hosts) && p.Hosts[i].ID == h.ID
	hosts := make([]Host, 0, len(p.Hosts)+1)
	hosts = append(hosts, p.Hosts[:i]...)
	hosts = append(hosts, h)
	if replaced {
		i++
	}
	p.Hosts = append(hosts, p.Hosts[i:]...)
	return p
}

// WithoutHost returns p without the host with the given ID.
func (p Pool) WithoutHost(id host.ID) Pool {
	hosts := make([]Host, 0, len(p.Hosts))
	for _, h := range p.Hosts {
		if h.ID != id {
			hosts = append(hosts, h)
		}
	}
	p.Hosts = hosts
	return p
}

// WithHolder returns p with member as its holder, in the next epoch.
func (p Pool) WithHolder(member string) Pool {
	p.Holder = member
	p.Epoch++
	return p
}

// withInbound returns p with an inbound host added.
func (p Pool) withInbound(in Inbound) Pool {
	p = p.WithoutInbound(in.Host)
	p.Inbound = append(p.Inbound, in)
	sort.Slice(p.Inbound, func(i, j int) bool { return p.Inbound[i].Host < p.Inbound[j].Host })
	return p
}

// WithoutInbound returns p without an inbound host.
func (p Pool) WithoutInbound(id host.ID) Pool {
	inbound := make([]Inbound, 0, len(p.Inbound)+1)
	for _, in := range p.Inbound {
		if in.Host != id {
			inbound = append(inbound, in)
		}
	}
	p.Inbound = inbound
	return p
}

// index returns the position of a host in p.Hosts, or the position at which to insert it.
func (p Pool) index(id host.ID) int {
	return sort.Search(len(p.Hosts), func(i int) bool { return p.Hosts[i].ID >= id })
}
