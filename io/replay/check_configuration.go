package replay

import (
	"sort"
	"strings"
	"time"
)

// inForceBound is the time after which an accepted change must be in force at every entry host.
const inForceBound = 5 * time.Second

// checkConfiguration requires that a race has one winner, that an accepted
// change is in force everywhere within the bound and stays, also at entry hosts
// that start later, and that a change that lost its race is never in force.
func checkConfiguration(e Evidence) finding {
	var f finding
	probes := append([]Probe(nil), e.Probes...)
	sort.SliceStable(probes, func(i, j int) bool { return probes[i].At.Before(probes[j].At) })
	checkRaces(&f, e.Changes)
	for _, change := range e.Changes {
		known := make(map[string]bool)
		for _, probe := range probes {
			if probe.Marker != change.Marker {
				continue
			}
			f.look(change.Race || isReplacement(probe.Process))
			switch {
			case known[probe.Process] && !probe.Known:
				f.breach(probe.At, "%s went back behind the change that adds %s", probe.Process, change.Marker)
			case change.Conflict && probe.Known:
				f.breach(probe.At, "%s has queue %s in force, whose change lost its race", probe.Process, change.Marker)
			case change.Accepted && !probe.Known && probe.At.After(change.Ended.Add(inForceBound)):
				f.breach(probe.At, "%s does not know queue %s, accepted at %s", probe.Process, change.Marker, change.Ended.Format(clock))
			}
			known[probe.Process] = known[probe.Process] || probe.Known
		}
	}
	return f
}

// checkRaces requires one accepted change of each pair of rivals. Rivals stand in the order of their ends.
func checkRaces(f *finding, changes []Change) {
	for _, change := range changes {
		if !change.Race && !change.Accepted {
			f.breach(change.Ended, "the change that adds %s was not accepted: %s", change.Marker, change.Error)
		}
	}
	accepted, rivals := 0, 0
	for _, change := range changes {
		if !change.Race {
			continue
		}
		rivals++
		if change.Accepted {
			accepted++
		}
		if rivals%2 == 0 && accepted != rivals/2 {
			f.breach(change.Ended, "of two rival changes %d were accepted, the last adds %s: %s", accepted-rivals/2+1, change.Marker, change.Error)
			accepted = rivals / 2
		}
	}
}

// isReplacement reports whether a process took the place of an earlier one.
func isReplacement(process string) bool {
	return !strings.HasSuffix(process, ".1")
}

// rollOut returns the time from a change to the first look that found it at the last entry host; false if none did.
func rollOut(change Change, probes []Probe) (time.Duration, bool) {
	first := make(map[string]time.Time)
	for _, probe := range probes {
		if probe.Marker != change.Marker || !probe.Known {
			continue
		}
		if at, ok := first[probe.Process]; !ok || probe.At.Before(at) {
			first[probe.Process] = probe.At
		}
	}
	var longest time.Duration
	for process, at := range first {
		if !isReplacement(process) {
			longest = max(longest, at.Sub(change.Begun))
		}
	}
	return longest, len(first) > 0
}
