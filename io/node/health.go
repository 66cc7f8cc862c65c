package node

import (
	"net/http"

	"siskincross/core/chart"
)

// healthPath is the path of the health check, by which the platform's load balancer selects entry hosts.
const healthPath = "/health"

// callersHandler returns the handler of callers' requests and of the health check.
func (n *Node) callersHandler() http.Handler {
	requests := n.entry.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			writeHealth(w, n.state.get())
			return
		}
		requests.ServeHTTP(w, r)
	})
}

// writeHealth responds to the health check: 200 in the serving state, otherwise 503.
func writeHealth(w http.ResponseWriter, s chart.State) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if s != stateServing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(string(s) + "\n"))
}
