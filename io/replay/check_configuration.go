package replay

import (
	"sort"
	"strings"
	"time"
)

// inForceTimeout is the time after which an accepted change must be in force at every entry host.
const inForceTimeout = 5 * time.Second

// checkConfiguration requires that exactly one of two rival changes is accepted,
// that an accepted change is in force at every entry host within inForceTimeout and
// stays in force, also at entry hosts that start later, and that a change that was
// rejected as a conflict is never in force.
func checkConfiguration(h History) finding {
	var f finding
	probes := append([]Probe(nil), h.Probes...)
	sort.SliceStable(probes, func(i, j int) bool { return probes[i].At.Before(probes[j].At) })
	checkRaces(&f, h.Changes)
	for _, change := range h.Changes {
		known := make(map[string]bool)
		for _, probe := range probes {
			if probe.Marker != change.Marker {
				continue
			}
			f.addCase(change.Race || isReplacement(probe.Process))
			switch {
			case known[probe.Process] && !probe.Known:
				f.addViolation(probe.At, "%s reverted the change that adds %s", probe.Process, change.Marker)
			case change.Conflict && probe.Known:
				f.addViolation(probe.At, "%s has queue %s in force, whose change was rejected as a conflict", probe.Process, change.Marker)
			case change.Accepted && !probe.Known && probe.At.After(change.Ended.Add(inForceTimeout)):
				f.addViolation(probe.At, "%s does not know queue %s, whose change was accepted at %s", probe.Process, change.Marker, change.Ended.Format(timeFormat))
			}
			known[probe.Process] = known[probe.Process] || probe.Known
		}
	}
	return f
}

// checkRaces requires that a change without a rival is accepted, and exactly one
// of each pair of rivals. The changes are in the order in which they ended.
func checkRaces(f *finding, changes []Change) {
	for _, change := range changes {
		if !change.Race && !change.Accepted {
			f.addViolation(change.Ended, "change that adds %s was not accepted: %s", change.Marker, change.Error)
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
			f.addViolation(change.Ended, "%d of two rival changes were accepted, the last adds %s: %s", accepted-rivals/2+1, change.Marker, change.Error)
			accepted = rivals / 2
		}
	}
}

// isReplacement reports whether a process is a later incarnation of its entry host.
func isReplacement(process string) bool {
	return !strings.HasSuffix(process, ".1")
}

// rollOut returns the time from a change until probes have found it at all
// original entry hosts that ever knew it; false if no probe found it.
func rollOut(change Change, probes []Probe) (time.Duration, bool) {
	firstKnown := make(map[string]time.Time)
	for _, probe := range probes {
		if probe.Marker != change.Marker || !probe.Known {
			continue
		}
		if at, ok := firstKnown[probe.Process]; !ok || probe.At.Before(at) {
			firstKnown[probe.Process] = probe.At
		}
	}
	var longest time.Duration
	for process, at := range firstKnown {
		if !isReplacement(process) {
			longest = max(longest, at.Sub(change.Started))
		}
	}
	return longest, len(firstKnown) > 0
}
