package operator

import (
	"net/http"
	"time"
)

const (
	// maxConcurrentBodies bounds the requests with a body that are served at once. Each may hold maxChangeBodyBytes and what they decode
	// into.
	maxConcurrentBodies = 16
	// bodyTimeout bounds the time to send the body of a request.
	bodyTimeout = 10 * time.Second
	// bodyRetryAfter is when a request that was refused for maxConcurrentBodies may be sent again, in seconds.
	bodyRetryAfter = "1"
)

// limitBodies refuses requests with a body beyond maxConcurrentBodies, and breaks off bodies that are incomplete after bodyTimeout.
func limitBodies(next http.Handler) http.Handler {
	slots := make(chan struct{}, maxConcurrentBodies)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			w.Header().Set("Retry-After", bodyRetryAfter)
			w.Header().Set("Connection", "close")
			writeProblem(w, http.StatusServiceUnavailable, "too many requests with a body are in progress; nothing was changed")
			return
		}
		defer func() { <-slots }()
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // the server sets it anew for the next request
		next.ServeHTTP(w, r)
	})
}
