package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// headerTimeout is the maximum time to read the header of a request.
	headerTimeout = 10 * time.Second
	// chunkBytes is the maximum size of a chunk of a response body.
	chunkBytes = 4 << 10
	// listenRetryInterval is the time between attempts to listen at the port of a host again after it was offline.
	listenRetryInterval = 20 * time.Millisecond
)

// discardLog drops the error logs of the HTTP servers, which injected faults fill with expected errors.
var discardLog = log.New(io.Discard, "", 0)

// Headers of requests to targets. They control the simulated work and the response.
const (
	// HeaderCaller carries the caller's own serial number of the request.
	HeaderCaller = "X-Caller"
	// HeaderWork carries, as a Go duration, how long the target works on the request.
	HeaderWork = "X-Work"
	// HeaderAnswerBytes carries the length of the response body in bytes.
	HeaderAnswerBytes = "X-Answer-Bytes"
	// HeaderStream set to "true" asks for a chunked response without a Content-Length.
	HeaderStream = "X-Answer-Stream"

	headerRequestID      = "Siskincross-Request-Id"
	headerRefused        = "Siskincross-Refused"
	headerIdempotencyKey = "Idempotency-Key"
)

// errHostOffline is returned if the host goes offline while it works on a request.
var errHostOffline = errors.New("host went offline during the request")

// ResponseBody returns the response body for a request with the identity: lines that repeat the identity, truncated to size bytes but
// never shorter than one line.
func ResponseBody(identity string, size int) []byte {
	line := []byte(identity + "\n")
	content := append([]byte(nil), line...)
	for len(content) < size {
		content = append(content, line...)
	}
	return content[:max(size, len(line))]
}

// RequestIdentity returns the text that identifies a request in the body of its response: the Idempotency-Key if there is one, otherwise
// the caller's serial number.
func RequestIdentity(key, caller string) string {
	if key != "" {
		return "key " + key
	}
	return "caller " + caller
}

// listen opens a listener at the address of the host and records the port that it got.
func (h *simulatedHost) listen(ctx context.Context) (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", h.address)
	if err != nil {
		return nil, fmt.Errorf("listen for the target of host %s: %w", h.spec.ID, err)
	}
	h.address = listener.Addr().String()
	return listener, nil
}

// serve serves requests until ctx ends. The listener is closed while the host is offline.
func (h *simulatedHost) serve(ctx context.Context, listener net.Listener) error {
	for ctx.Err() == nil {
		if listener == nil {
			listener = h.listenWhenOnline(ctx)
			continue
		}
		if err := h.serveWhileOnline(ctx, listener); err != nil {
			return err
		}
		listener = nil
	}
	return nil
}

// listenWhenOnline waits until the host is online and listens again. It returns nil if ctx ended or listening failed; the caller
// retries unless ctx ended.
func (h *simulatedHost) listenWhenOnline(ctx context.Context) net.Listener {
	if !h.awaitState(ctx, func(s hostState) bool { return !s.offline() }) {
		return nil
	}
	listener, err := h.listen(ctx)
	if err != nil {
		sleep(ctx, listenRetryInterval)
		return nil
	}
	return listener
}

// serveWhileOnline serves until the host goes offline or ctx ends, then closes all connections.
func (h *simulatedHost) serveWhileOnline(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnState: h.limitConnections, ErrorLog: discardLog}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	h.awaitState(ctx, hostState.offline)
	_ = server.Close()
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// awaitState waits until the state of the host satisfies wanted. It returns false if ctx ends first.
func (h *simulatedHost) awaitState(ctx context.Context, wanted func(hostState) bool) bool {
	for ctx.Err() == nil {
		now := time.Now()
		h.mu.Lock()
		current, changed := h.stateAt(now), h.changed
		next, scheduled := h.nextTransition(now)
		h.mu.Unlock()
		if wanted(current) {
			return true
		}
		var timer <-chan time.Time
		if scheduled {
			timer = time.After(next.Sub(now))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer:
		}
	}
	return false
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// limitConnections counts the open connections and closes a new one that exceeds the host's capacity. It is the ConnState hook
// of the target's server.
func (h *simulatedHost) limitConnections(connection net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch state {
	case http.StateNew:
		h.openConnections++
		if limit := h.spec.Capacity.Connections; limit > 0 && h.openConnections > limit {
			h.recordChange(time.Now(), ChangeConnections, false, "")
			_ = connection.Close()
		}
	case http.StateClosed, http.StateHijacked:
		h.openConnections--
	case http.StateActive, http.StateIdle:
	}
}

// ServeHTTP implements http.Handler. It runs a request, or refuses it before it starts if the host is drained or out of slots.
func (h *simulatedHost) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	_, _ = io.Copy(io.Discard, r.Body)
	if !h.awaitResponsive(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	index, boot, admitted, offline := h.admitRequest(r)
	if offline {
		panic(http.ErrAbortHandler)
	}
	if !admitted {
		rw.Header().Set(headerRefused, "not-started")
		http.Error(rw, "not started", http.StatusServiceUnavailable)
		return
	}
	work, _ := time.ParseDuration(r.Header.Get(HeaderWork))
	if err := h.simulateWork(r.Context(), work, boot); err != nil {
		h.finishRequest(index, RunCut, "")
		panic(http.ErrAbortHandler)
	}
	size, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	response := responseSpec{
		requestID: r.Header.Get(headerRequestID),
		identity:  RequestIdentity(r.Header.Get(headerIdempotencyKey), r.Header.Get(HeaderCaller)),
		size:      size,
		stream:    r.Header.Get(HeaderStream) == "true",
	}
	fault := h.takeFault()
	outcome := RunWhole
	defer func() { h.finishRequest(index, outcome, fault.name) }()
	if err := h.sendResponse(rw, r, response, fault); err != nil {
		outcome = RunCut
		panic(http.ErrAbortHandler)
	}
}

// admitRequest records the request and takes a slot for it. It refuses the request if the host is drained or out of slots. A
// host that is offline, and whose listener is not closed yet, records nothing. The index is that of the record.
func (h *simulatedHost) admitRequest(r *http.Request) (index, boot int, admitted, offline bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceTasks(now)
	current := h.stateAt(now)
	if current.offline() {
		return 0, 0, false, true
	}
	record := RequestRecord{
		Host: h.spec.ID, BootCount: current.bootCount, RequestID: r.Header.Get(headerRequestID),
		IdempotencyKey: r.Header.Get(headerIdempotencyKey), CallerSerial: r.Header.Get(HeaderCaller), Path: r.URL.Path, Started: now,
	}
	if h.drained || h.slotsInUse() >= h.spec.Capacity.Slots {
		record.Outcome, record.Finished, record.SlotsInUse = RunRefused, now, h.slotsInUse()
		return h.recorder.addRequest(record), record.BootCount, false, false
	}
	h.requestsInProgress++
	record.SlotsInUse = h.slotsInUse()
	return h.recorder.addRequest(record), record.BootCount, true, false
}

// finishRequest releases the slot of the request and completes its record.
func (h *simulatedHost) finishRequest(index int, outcome RunOutcome, fault string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requestsInProgress--
	h.recorder.completeRequest(index, outcome, time.Now(), fault)
}

// simulateWork waits for d, and longer while the host hangs. It returns an error early if the host goes offline or reboots, or if
// the request is cancelled.
func (h *simulatedHost) simulateWork(ctx context.Context, d time.Duration, boot int) error {
	working, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	if h.awaitState(working, func(s hostState) bool { return s.offline() || s.bootCount != boot }) {
		return errHostOffline
	}
	if !h.awaitResponsive(ctx) {
		return ctx.Err()
	}
	return nil
}

// awaitResponsive waits while the host hangs. It returns false if ctx ends first.
func (h *simulatedHost) awaitResponsive(ctx context.Context) bool {
	return h.awaitState(ctx, func(s hostState) bool { return !s.hung() })
}
