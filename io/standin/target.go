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
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 10 * time.Second
	// chunkBytes is the size of the pieces of a streamed answer.
	chunkBytes = 4 << 10
	// listenRetryInterval is the time between tries to take up a host's port again.
	listenRetryInterval = 20 * time.Millisecond
)

var discardLog = log.New(io.Discard, "", 0)

// Headers of requests to targets.
const (
	// HeaderCaller carries the caller's own serial of a request.
	HeaderCaller = "X-Caller"
	// HeaderWork carries a Go duration: how long the target works on the request.
	HeaderWork = "X-Work"
	// HeaderAnswerBytes carries the size of the answer.
	HeaderAnswerBytes = "X-Answer-Bytes"
	// HeaderStream set to "true" asks for an answer in chunks, without a length.
	HeaderStream = "X-Answer-Stream"

	headerRequestID      = "Siskincross-Request-Id"
	headerRefused        = "Siskincross-Refused"
	headerIdempotencyKey = "Idempotency-Key"
)

// errHostOffline tells that the host was cut off while it worked.
var errHostOffline = errors.New("the host was switched off")

// Answer returns the answer to the request of that identity: lines that repeat
// the identity, cut to size but never shorter than one line.
func Answer(identity string, size int) []byte {
	line := []byte(identity + "\n")
	content := append([]byte(nil), line...)
	for len(content) < size {
		content = append(content, line...)
	}
	return content[:max(size, len(line))]
}

// Identity names the request that an answer belongs to: its Idempotency-Key, else its caller's serial.
func Identity(key, caller string) string {
	if key != "" {
		return "key " + key
	}
	return "caller " + caller
}

// listen starts to listen at the host's address.
func (h *simulatedHost) listen(ctx context.Context) (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", h.address)
	if err != nil {
		return nil, fmt.Errorf("open the target of host %s: %w", h.spec.ID, err)
	}
	h.address = listener.Addr().String()
	return listener, nil
}

// serve answers requests until ctx ends, and closes the listener while the host is down.
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

// listenWhenOnline waits until the host is up and listens again. It returns nil for another try.
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

// serveWhileOnline serves until the host goes down or ctx ends, then cuts all connections.
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

// awaitState waits until the host's stage is as wanted. It returns false when ctx ended before.
func (h *simulatedHost) awaitState(ctx context.Context, wanted func(hostState) bool) bool {
	for ctx.Err() == nil {
		now := time.Now()
		h.mu.Lock()
		current, turn := h.stateAt(now), h.changed
		next, planned := h.nextTransition(now)
		h.mu.Unlock()
		if wanted(current) {
			return true
		}
		var timer <-chan time.Time
		if planned {
			timer = time.After(next.Sub(now))
		}
		select {
		case <-ctx.Done():
		case <-turn:
		case <-timer:
		}
	}
	return false
}

// sleep waits for d and returns false when ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// limitConnections closes connections above the host's capacity.
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

// ServeHTTP runs one request, or refuses it before it starts.
func (h *simulatedHost) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	_, _ = io.Copy(io.Discard, r.Body)
	if !h.awaitResponsive(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	index, boot, started := h.admitRequest(r)
	if !started {
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
	a := responseSpec{
		requestID: r.Header.Get(headerRequestID),
		identity:  Identity(r.Header.Get(headerIdempotencyKey), r.Header.Get(HeaderCaller)),
		size:      size,
		stream:    r.Header.Get(HeaderStream) == "true",
	}
	f := h.takeFault()
	outcome := RunWhole
	defer func() { h.finishRequest(index, outcome, f.name) }()
	if err := h.sendResponse(rw, r, a, f); err != nil {
		outcome = RunCut
		panic(http.ErrAbortHandler)
	}
}

// admitRequest records the request and takes a slot unless the host must refuse it.
func (h *simulatedHost) admitRequest(r *http.Request) (index, boot int, started bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceTasks(now)
	run := Run{
		Host: h.spec.ID, Boot: h.stateAt(now).bootCount, Request: r.Header.Get(headerRequestID),
		Key: r.Header.Get(headerIdempotencyKey), Caller: r.Header.Get(HeaderCaller), Path: r.URL.Path, Started: now,
	}
	if h.drained || h.slotsInUse() >= h.spec.Capacity.Slots {
		run.Outcome, run.Finished, run.SlotsInUse = RunRefused, now, h.slotsInUse()
		return h.recorder.addRequest(run), run.Boot, false
	}
	h.requestsInProgress++
	run.SlotsInUse = h.slotsInUse()
	return h.recorder.addRequest(run), run.Boot, true
}

// finishRequest frees the slot and completes the record.
func (h *simulatedHost) finishRequest(index int, outcome RunOutcome, fault string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requestsInProgress--
	h.recorder.completeRequest(index, outcome, time.Now(), fault)
}

// simulateWork takes d of time, and ends early when the host goes down or the request is cancelled.
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

// awaitResponsive waits while the host hangs. It returns false when ctx ended before.
func (h *simulatedHost) awaitResponsive(ctx context.Context) bool {
	return h.awaitState(ctx, func(s hostState) bool { return !s.hung() })
}
