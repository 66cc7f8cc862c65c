package node

import (
	"net/http"

	"siskincross/core/chart"
)

// healthPath is where the platform's balancer asks whether to send callers here.
const healthPath = "/health"

// callersHandler serves the health check beside the callers' requests.
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

// writeHealth answers 200 only while new callers are welcome.
func writeHealth(w http.ResponseWriter, s chart.State) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if s != stateServing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(string(s) + "\n"))
}
