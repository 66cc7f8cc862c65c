package operator

import (
	"bytes"
	_ "embed"
	"html/template"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"siskincross/core/chart"
	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/io/fleet"
	"siskincross/io/jobs"
	"siskincross/io/peer"
	"siskincross/io/timeline"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("status").Parse(pageText))

// maxPageEvents is the maximum number of events on the status page.
const maxPageEvents = 60

// statusPage is the data of page.html.
type statusPage struct {
	Member   string
	Members  []string
	Doubt    string
	Version  config.Version
	Progress Progress
	Pools    []poolRow
	Hosts    []hostRow
	Jobs     []jobs.PoolStatus
	Peers    []peer.Peer
	Events   []eventRow
}

// poolRow is one pool with the use of its availability budget.
type poolRow struct {
	fleet.PoolStatus
	States []stateCount
	// Used is the share of the budget in use, in percent, at most 100.
	Used int
	// Over is set when more hosts are unavailable than the budget allows, as failures can cause.
	Over bool
}

// stateCount is the number of a pool's hosts in one state.
type stateCount struct {
	State chart.State
	Count int
}

// hostRow is one host that is out of service.
type hostRow struct {
	Pool string
	fleet.HostStatus
}

// eventRow is one event, formatted for the status page.
type eventRow struct {
	Time    string
	Process string
	Name    string
	Level   event.Level
	Subject string
	Detail  string
}

const percent = 100

func (s *Server) serveStatusPage(c iris.Context) {
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, s.newStatusPage(c.Request())); err != nil {
		writeError(c, err)
		return
	}
	c.ResponseWriter().Header().Set("Content-Type", "text/html; charset=utf-8")
	_, _ = c.ResponseWriter().Write(page.Bytes())
}

func (s *Server) newStatusPage(r *http.Request) statusPage {
	status := s.Fleet()
	version := s.Rollout.Current().Version
	page := statusPage{
		Member:   status.Member,
		Members:  status.Members,
		Doubt:    status.ListDistrustReason,
		Version:  version,
		Progress: newProgress(s.Rollout.RolloutProgress(version)),
		Jobs:     s.Jobs().Pools,
		Peers:    s.Peers(),
		Events:   newestEventRows(s.Timeline(r.Context(), timeline.Filter{})),
	}
	for _, p := range status.Pools {
		page.Pools = append(page.Pools, newPoolRow(p))
		page.Hosts = append(page.Hosts, outOfServiceRows(p)...)
	}
	return page
}

func newPoolRow(p fleet.PoolStatus) poolRow {
	row := poolRow{PoolStatus: p, States: countStates(p.Hosts)}
	total, budget := p.Disruptions.Total(), p.Limits.MaxUnavailable
	row.Over = total > budget
	row.Used = min(percent, total*percent/max(1, budget))
	return row
}

// countStates returns the states with at least one host, in the order of the state chart.
func countStates(hosts []fleet.HostStatus) []stateCount {
	counts := make(map[chart.State]int)
	for _, h := range hosts {
		counts[h.State]++
	}
	var states []stateCount
	for _, state := range host.Chart.States() {
		if counts[state] > 0 {
			states = append(states, stateCount{State: state, Count: counts[state]})
		}
	}
	return states
}

// outOfServiceRows returns a row for each host of the pool that isn't serving.
func outOfServiceRows(p fleet.PoolStatus) []hostRow {
	var rows []hostRow
	for _, h := range p.Hosts {
		if h.State != host.Serving {
			rows = append(rows, hostRow{Pool: p.Name, HostStatus: h})
		}
	}
	return rows
}

// newestEventRows returns rows for the last events, newest first. It leaves out events of debug level,
// which concern single requests and jobs.
func newestEventRows(events []event.Event) []eventRow {
	var rows []eventRow
	for i := len(events) - 1; i >= 0 && len(rows) < maxPageEvents; i-- {
		e := events[i]
		if e.Number.Level() == event.LevelDebug {
			continue
		}
		rows = append(rows, eventRow{
			Time:    time.UnixMilli(e.Time.WallMillis).UTC().Format("15:04:05.000"),
			Process: e.Process,
			Name:    e.Number.String(),
			Level:   e.Number.Level(),
			Subject: timeline.Subject(e),
			Detail:  e.Detail,
		})
	}
	return rows
}
