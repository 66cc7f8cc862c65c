package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"sort"

	"github.com/cockroachdb/errors"

	"siskincross/core/event"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("timeline").Parse(pageText))

const millisPerSecond = 1000

// page is what the template shows: one lane a process, one row an event.
type page struct {
	Lanes      []string
	Subsystems []string
	Rows       []row
}

type row struct {
	// Seconds since the first event.
	Seconds   string
	Lane      int
	Name      string
	Number    int
	ID        event.ID
	Cause     event.ID
	Subsystem string
	Subject   string
	Detail    string
}

// WriteHTML writes one self-contained page with a lane for each process.
// Events must be in the order that Merge gives.
func WriteHTML(w io.Writer, events []event.Event) error {
	return errors.Wrap(pageTemplate.Execute(w, newPage(events)), "write the time line's page")
}

func newPage(events []event.Event) page {
	p := page{Lanes: sortedProcesses(events), Subsystems: event.Subsystems()}
	lane := make(map[string]int, len(p.Lanes))
	for i, name := range p.Lanes {
		lane[name] = i
	}
	for _, e := range events {
		p.Rows = append(p.Rows, newRow(e, events[0].Time, lane[e.Process]))
	}
	return p
}

func sortedProcesses(events []event.Event) []string {
	seen := make(map[string]bool)
	var lanes []string
	for _, e := range events {
		if !seen[e.Process] {
			seen[e.Process] = true
			lanes = append(lanes, e.Process)
		}
	}
	sort.Strings(lanes)
	return lanes
}

func newRow(e event.Event, first event.Timestamp, lane int) row {
	elapsed := float64(e.Time.WallMillis-first.WallMillis) / millisPerSecond
	return row{
		Seconds:   fmt.Sprintf("%.3f", elapsed),
		Lane:      lane,
		Name:      e.Number.String(),
		Number:    int(e.Number),
		ID:        e.ID,
		Cause:     e.Cause,
		Subsystem: e.Number.Subsystem(),
		Subject:   Subject(e),
		Detail:    e.Detail,
	}
}

// Subject returns what e is about, as "kind name" pairs.
func Subject(e event.Event) string {
	var text string
	for _, part := range []struct{ kind, name string }{
		{"host", e.Host},
		{"pool", e.Pool},
		{"job", e.Job},
		{"request", e.Request},
		{"organisation", e.Organisation},
	} {
		if part.name != "" {
			text += part.kind + " " + part.name + " "
		}
	}
	return text
}
