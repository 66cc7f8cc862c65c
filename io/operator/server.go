// Package operator implements the operators' HTTP API and its client: the configuration,
// the state of the fleet, the event timeline, metrics and a status page. Operators have
// a listener of their own, separate from that of the callers.
package operator

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"

	"siskincross/core/event"
	"siskincross/io/fleet"
	"siskincross/io/jobs"
	"siskincross/io/peer"
	"siskincross/io/rollout"
	"siskincross/io/timeline"
)

// Server serves the operators' API of one entry host. Set its fields before calling Handler.
type Server struct {
	Rollout *rollout.Manager
	// Fleet and Jobs return this entry host's view of the hosts and jobs.
	Fleet func() fleet.Status
	Jobs  func() jobs.Status
	// Peers returns this entry host's connections to other entry hosts.
	Peers func() []peer.Peer
	// Timeline returns the matching events of all reachable entry hosts, ordered by their clocks.
	Timeline func(ctx context.Context, f timeline.Filter) []event.Event
	// Token is the operators' credential. If it is empty, only loopback connections are served.
	Token string
	// Metrics serves the metrics in the Prometheus text format; nil means that there is no metrics path.
	Metrics http.Handler
}

// Paths of the operators' API. docs/openapi.json describes them.
const (
	pathStatusPage = "/"
	pathMetrics    = "/metrics"
	pathFleet      = "/v1/fleet"
	pathJobs       = "/v1/jobs"
	pathPeers      = "/v1/peers"
	pathTimeline   = "/v1/timeline"
	pathCurrent    = "/v1/configuration"
	pathPlan       = "/v1/configuration/plan"
	pathApply      = "/v1/configuration/apply"
	pathRollback   = "/v1/configuration/rollback"
	pathHistory    = "/v1/configuration/history"
	pathVersion    = "/v1/configuration/versions/{version}"
	pathProgress   = "/v1/configuration/versions/{version}/progress"
)

// Handler returns the handler of the operators' requests. Every path requires the token.
func (s *Server) Handler() http.Handler {
	app := s.routes()
	if err := app.Build(); err != nil {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		})
	}
	return s.requireToken(limitBodies(app))
}

func (s *Server) routes() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(pathStatusPage, s.serveStatusPage)
	if s.Metrics != nil {
		app.Get(pathMetrics, iris.FromStd(s.Metrics))
	}
	app.Get(pathFleet, func(c iris.Context) { writeResponse(c, s.Fleet(), nil) })
	app.Get(pathJobs, func(c iris.Context) { writeResponse(c, s.Jobs(), nil) })
	app.Get(pathPeers, func(c iris.Context) { writeResponse(c, s.Peers(), nil) })
	app.Get(pathTimeline, s.serveTimeline)
	app.Get(pathCurrent, func(c iris.Context) { writeResponse(c, s.Rollout.Current(), nil) })
	app.Post(pathPlan, s.servePlan)
	app.Post(pathApply, s.serveApply)
	app.Post(pathRollback, s.serveRollback)
	app.Get(pathHistory, s.serveHistory)
	app.Get(pathVersion, s.serveVersion)
	app.Get(pathProgress, s.serveProgress)
	return app
}

func (s *Server) serveTimeline(c iris.Context) {
	f := timeline.Filter{
		Host:    c.URLParam("host"),
		Pool:    c.URLParam("pool"),
		Job:     c.URLParam("job"),
		Request: c.URLParam("request"),
	}
	events := s.Timeline(c.Request().Context(), f)
	if events == nil {
		events = []event.Event{}
	}
	writeResponse(c, events, nil)
}
