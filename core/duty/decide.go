package duty

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"siskincross/core/pool"
)

// PreferredHolder returns the member that should hold a pool's duty, by rendezvous
// hashing: when a member comes or goes, only its own duties move. It returns
// "" when there are no members.
func PreferredHolder(pool string, members []string) string {
	return rendezvous.New(members, xxhash.Sum64String).Lookup(pool)
}

// View is what one member knows of the others.
type View struct {
	Self string
	// Live holds the members that have not lapsed, with Self.
	Live []string
	// Established holds the live members that are no longer new. Duties are handed over only to these.
	Established []string
	// Assignment holds the member that should hold each duty; nil if the members' names alone decide.
	Assignment map[string]string
}

// proposed returns which of some members should hold a duty.
func (v View) proposed(name string, members []string) string {
	if v.Assignment == nil {
		return PreferredHolder(name, members)
	}
	if member := v.Assignment[name]; slices.Contains(members, member) {
		return member
	}
	return ""
}

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Step -transform=kebab -text -json -trimprefix=Step -output=step_enumer.go

// Step is what a member does about one duty.
type Step int

// Steps about a duty.
const (
	// StepNone leaves the duty as it is.
	StepNone Step = iota
	// StepTake takes a duty whose holder is not live.
	StepTake
	// StepHandOver gives an own duty to the proposed member.
	StepHandOver
)

// NextStep returns what the viewer does about the duty of a pool, and the holder to write.
//
// A duty is taken only from a holder that is not live. Two members whose views
// differ may both try; the version of the pool's row lets one of them succeed.
func NextStep(p pool.Pool, v View) (Step, string) {
	proposed := v.proposed(p.Name, v.Live)
	switch {
	case p.Holder == v.Self:
		return decideOwn(p, v)
	case slices.Contains(v.Live, p.Holder) || proposed != v.Self:
		return StepNone, ""
	}
	return StepTake, v.Self
}

func decideOwn(p pool.Pool, v View) (Step, string) {
	settled := v.proposed(p.Name, v.Established)
	if settled == "" || settled == v.Self || settled != v.proposed(p.Name, v.Live) {
		return StepNone, ""
	}
	return StepHandOver, settled
}
