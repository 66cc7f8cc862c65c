package replay

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Report is the result of one replay.
type Report struct {
	Directory  string         `json:"directory"`
	Seed       uint64         `json:"seed"`
	Speed      float64        `json:"speed"`
	Held       bool           `json:"held"`
	Properties []Verdict      `json:"properties"`
	Measures   Measures       `json:"measures"`
	Calls      map[string]int `json:"calls"`
	Jobs       map[string]int `json:"jobs"`
	Hosts      int            `json:"hosts"`
}

// newReport checks the properties and computes the measures of a replay.
func newReport(h History, options Options) Report {
	r := Report{
		Directory: options.Directory, Seed: options.Seed, Speed: options.Speed, Held: true,
		Properties: h.checkProperties(), Measures: h.measures(), Calls: make(map[string]int), Jobs: make(map[string]int),
		Hosts: len(h.fleet.Hosts),
	}
	for _, v := range r.Properties {
		r.Held = r.Held && v.Held
	}
	for _, call := range h.Calls {
		r.Calls[call.Outcome.String()]++
	}
	for _, job := range h.Jobs {
		r.Jobs[jobState(job)]++
	}
	return r
}

// jobState returns the state under which the report counts a job.
func jobState(job JobCall) string {
	if !job.Accepted {
		return "not accepted"
	}
	return job.State
}

// Property returns the verdict on a property; the zero verdict if it is unknown.
func (r Report) Property(name string) Verdict {
	for _, v := range r.Properties {
		if v.Property == name {
			return v
		}
	}
	return Verdict{Property: name}
}

// JSON returns the report as JSON.
func (r Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", "  ") }

// String returns the report as text: a table of the properties, a table of the measures, and the counts.
func (r Report) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, "property\toutcome\tcases\tprovoked\tbroken\tfirst violation")
	for _, v := range r.Properties {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", v.Property, heldText(v.Held), v.Cases, v.Provoked, v.Violations, v.FirstViolation)
	}
	m := r.Measures
	fmt.Fprintln(w, "\nmeasure\tvalue\t")
	fmt.Fprintf(w, "buffer cost\t%.1f%%\t%.0f idle host-seconds of %d hosts\n", percent*m.IdleShare, m.IdleHostSeconds, r.Hosts)
	fmt.Fprintf(w, "roll-out time\t%.2f s\tlongest of %d changes\n", m.RollOutSeconds, m.RollOuts)
	fmt.Fprintf(w, "moves\t%d\tof hosts between pools\n", m.Moves)
	fmt.Fprintf(w, "goodput\t%.1f%%\tof its pool's slots, minimum of %d overloads; for information\n", percent*m.Goodput, m.Overloads)
	_ = w.Flush()
	fmt.Fprintf(&b, "\ncalls: %s\njobs:  %s\n", formatCounts(r.Calls), formatCounts(r.Jobs))
	return b.String()
}

const (
	columnGap = 2
	percent   = 100
)

func heldText(held bool) string {
	if held {
		return "held"
	}
	return "broken"
}

// formatCounts returns the counts with their names, sorted by name.
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
