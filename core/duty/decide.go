package duty

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"siskincross/core/pool"
)

// PreferredHolder returns the member that should hold the duty of a pool, chosen by rendezvous hashing: when a
// member joins or leaves, only the duties of that member move. It returns "" if there are no members.
func PreferredHolder(pool string, members []string) string {
	return rendezvous.New(members, xxhash.Sum64String).Lookup(pool)
}

// View is the membership as seen by one member.
type View struct {
	Self string
	// Live holds the members that have not lapsed, including Self.
	Live []string
	// Established holds the members that have been live for long enough to be handed duties.
	Established []string
	// Assignment maps each duty to the member that should hold it. If it is nil, the holder is chosen by
	// rendezvous hashing.
	Assignment map[string]string
}

// preferredHolder returns the member that should hold a duty, or "" if Assignment names none of the given
// members.
func (v View) preferredHolder(name string, members []string) string {
	if v.Assignment == nil {
		return PreferredHolder(name, members)
	}
	if member := v.Assignment[name]; slices.Contains(members, member) {
		return member
	}
	return ""
}

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Step -transform=kebab -text -json -trimprefix=Step -output=step_enumer.go

// Step is an action on one duty.
type Step int

// Steps of a duty.
const (
	// StepNone leaves the duty as it is.
	StepNone Step = iota
	// StepTake takes over a duty whose holder is not live.
	StepTake
	// StepHandOver transfers a duty of the deciding member to its preferred holder.
	StepHandOver
)

// NextStep returns the step that the member of the view takes for the duty of a pool, and the holder to write.
//
// A duty is taken over only if its holder is not live. Two members with different views may both attempt it;
// the write is conditional on the version of the pool's row, so that only one succeeds.
func NextStep(p pool.Pool, v View) (Step, string) {
	preferred := v.preferredHolder(p.Name, v.Live)
	switch {
	case p.Holder == v.Self:
		return nextStepAsHolder(p, v)
	case slices.Contains(v.Live, p.Holder) || preferred != v.Self:
		return StepNone, ""
	}
	return StepTake, v.Self
}

// nextStepAsHolder returns the step for a duty that the member of the view holds. The duty is handed over only
// if the live and the established members have the same preferred holder.
func nextStepAsHolder(p pool.Pool, v View) (Step, string) {
	preferred := v.preferredHolder(p.Name, v.Established)
	if preferred == "" || preferred == v.Self || preferred != v.preferredHolder(p.Name, v.Live) {
		return StepNone, ""
	}
	return StepHandOver, preferred
}
