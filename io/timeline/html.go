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

// page is the data of page.html, with a column (lane) for each process and a row for each event.
type page struct {
	Lanes      []string
	Subsystems []string
	Rows       []row
}

// row is one event, formatted for the page.
type row struct {
	// Seconds is the time since the first event.
	Seconds string
	// Lane is the index of the event's process in page.Lanes.
	Lane      int
	Name      string
	Number    int
	ID        event.ID
	Cause     event.ID
	Subsystem string
	Subject   string
	Detail    string
}

// WriteHTML writes events as a self-contained HTML page with a lane for each process.
// The events must be in the order of Merge.
func WriteHTML(w io.Writer, events []event.Event) error {
	return errors.Wrap(pageTemplate.Execute(w, newPage(events)), "write the timeline page")
}

func newPage(events []event.Event) page {
	p := page{Lanes: sortedProcesses(events), Subsystems: event.Subsystems()}
	laneIndex := make(map[string]int, len(p.Lanes))
	for i, process := range p.Lanes {
		laneIndex[process] = i
	}
	for _, e := range events {
		p.Rows = append(p.Rows, newRow(e, events[0].Time, laneIndex[e.Process]))
	}
	return p
}

// sortedProcesses returns the names of the processes that recorded the events, sorted.
func sortedProcesses(events []event.Event) []string {
	seen := make(map[string]bool)
	var processes []string
	for _, e := range events {
		if !seen[e.Process] {
			seen[e.Process] = true
			processes = append(processes, e.Process)
		}
	}
	sort.Strings(processes)
	return processes
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

// Subject returns the objects that e concerns, as pairs "kind name".
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
