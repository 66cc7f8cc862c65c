package replay

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Report is the judgement on one replay.
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

func newReport(e Evidence, options Options) Report {
	r := Report{
		Directory: options.Directory, Seed: options.Seed, Speed: options.Speed, Held: true,
		Properties: e.judge(), Measures: e.measure(), Calls: make(map[string]int), Jobs: make(map[string]int),
		Hosts: len(e.fleet.Hosts),
	}
	for _, v := range r.Properties {
		r.Held = r.Held && v.Held
	}
	for _, call := range e.Calls {
		r.Calls[call.Outcome.String()]++
	}
	for _, job := range e.Jobs {
		r.Jobs[jobState(job)]++
	}
	return r
}

func jobState(job JobCall) string {
	if !job.Accepted {
		return "not accepted"
	}
	return job.State
}

// Property returns the verdict on a property.
func (r Report) Property(name string) Verdict {
	for _, v := range r.Properties {
		if v.Property == name {
			return v
		}
	}
	return Verdict{Property: name}
}

// JSON returns the report for machines.
func (r Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", "  ") }

// String returns the report for people: a table of the properties, one of the measures, and the counts.
func (r Report) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, "property\toutcome\tcases\tprovoked\tbroken\tfirst offending event")
	for _, v := range r.Properties {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", v.Property, heldOrBroken(v.Held), v.Cases, v.Provoked, v.Broken, v.First)
	}
	m := r.Measures
	fmt.Fprintln(w, "\nmeasure\tvalue\t")
	fmt.Fprintf(w, "buffer cost\t%.1f%%\t%.0f idle host seconds of %d hosts\n", percent*m.IdleShare, m.IdleHostSeconds, r.Hosts)
	fmt.Fprintf(w, "roll-out time\t%.2f s\tlongest of %d changes\n", m.RollOutSeconds, m.RollOuts)
	fmt.Fprintf(w, "moves\t%d\thosts that changed their pool\n", m.Moves)
	fmt.Fprintf(w, "goodput\t%.1f%%\tof its pool's slots, lowest of %d overloads; informs only\n", percent*m.Goodput, m.Overloads)
	_ = w.Flush()
	fmt.Fprintf(&b, "\ncalls: %s\njobs:  %s\n", counted(r.Calls), counted(r.Jobs))
	return b.String()
}

const (
	columnGap = 2
	percent   = 100
)

func heldOrBroken(held bool) string {
	if held {
		return "held"
	}
	return "broken"
}

// counted lists counts by name, in the order of names.
func counted(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
