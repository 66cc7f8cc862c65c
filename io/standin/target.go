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
	// reopenPause is the time between tries to take up a host's port again.
	reopenPause = 20 * time.Millisecond
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

	headerRequestID = "Siskincross-Request-Id"
	headerRefused   = "Siskincross-Refused"
	headerKey       = "Idempotency-Key"
)

// errCut tells that the host was cut off while it worked.
var errCut = errors.New("the host was switched off")

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

// open starts to listen at the host's address.
func (w *worker) open(ctx context.Context) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", w.address)
	if err != nil {
		return nil, fmt.Errorf("open the target of host %s: %w", w.spec.ID, err)
	}
	w.address = listener.Addr().String()
	return listener, nil
}

// serve answers requests until ctx ends, and closes the listener while the host is down.
func (w *worker) serve(ctx context.Context, listener net.Listener) error {
	for ctx.Err() == nil {
		if listener == nil {
			listener = w.reopen(ctx)
			continue
		}
		if err := w.serveStage(ctx, listener); err != nil {
			return err
		}
		listener = nil
	}
	return nil
}

// reopen waits until the host is up and listens again. It returns nil for another try.
func (w *worker) reopen(ctx context.Context) net.Listener {
	if !w.awaitStage(ctx, func(s stage) bool { return !s.down() }) {
		return nil
	}
	listener, err := w.open(ctx)
	if err != nil {
		pause(ctx, reopenPause)
		return nil
	}
	return listener
}

// serveStage serves until the host goes down or ctx ends, then cuts all connections.
func (w *worker) serveStage(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: w, ReadHeaderTimeout: headerTimeout, ConnState: w.countConnection, ErrorLog: discardLog}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	w.awaitStage(ctx, stage.down)
	_ = server.Close()
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// awaitStage waits until the host's stage is as wanted. It returns false when ctx ended before.
func (w *worker) awaitStage(ctx context.Context, wanted func(stage) bool) bool {
	for ctx.Err() == nil {
		now := time.Now()
		w.mu.Lock()
		current, turn := w.stageAt(now), w.turn
		next, planned := w.nextStage(now)
		w.mu.Unlock()
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

// pause waits for d and returns false when ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// countConnection closes connections above the host's capacity.
func (w *worker) countConnection(connection net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.connections++
		if limit := w.spec.Capacity.Connections; limit > 0 && w.connections > limit {
			w.record(time.Now(), ChangeConnections, false, "")
			_ = connection.Close()
		}
	case http.StateClosed, http.StateHijacked:
		w.connections--
	case http.StateActive, http.StateIdle:
	}
}

// ServeHTTP runs one request, or refuses it before it starts.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	_, _ = io.Copy(io.Discard, r.Body)
	if !w.awaitAnswering(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	index, boot, started := w.arrive(r)
	if !started {
		rw.Header().Set(headerRefused, "not-started")
		http.Error(rw, "not started", http.StatusServiceUnavailable)
		return
	}
	work, _ := time.ParseDuration(r.Header.Get(HeaderWork))
	if err := w.work(r.Context(), work, boot); err != nil {
		w.depart(index, RunCut, "")
		panic(http.ErrAbortHandler)
	}
	size, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	a := answer{
		request:  r.Header.Get(headerRequestID),
		identity: Identity(r.Header.Get(headerKey), r.Header.Get(HeaderCaller)),
		size:     size,
		stream:   r.Header.Get(HeaderStream) == "true",
	}
	f := w.nextFault()
	outcome := RunWhole
	defer func() { w.depart(index, outcome, f.name) }()
	if err := w.send(rw, r, a, f); err != nil {
		outcome = RunCut
		panic(http.ErrAbortHandler)
	}
}

// arrive records the request and takes a slot unless the host must refuse it.
func (w *worker) arrive(r *http.Request) (index, boot int, started bool) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	run := Run{
		Host: w.spec.ID, Boot: w.stageAt(now).boot, Request: r.Header.Get(headerRequestID),
		Key: r.Header.Get(headerKey), Caller: r.Header.Get(HeaderCaller), Path: r.URL.Path, Started: now,
	}
	if w.drained || w.busy() >= w.spec.Capacity.Slots {
		run.Outcome, run.Finished, run.SlotsInUse = RunRefused, now, w.busy()
		return w.journal.begin(run), run.Boot, false
	}
	w.requests++
	run.SlotsInUse = w.busy()
	return w.journal.begin(run), run.Boot, true
}

// depart frees the slot and completes the record.
func (w *worker) depart(index int, outcome RunOutcome, fault string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests--
	w.journal.end(index, outcome, time.Now(), fault)
}

// work takes d of time, and ends early when the host goes down or the request is cancelled.
func (w *worker) work(ctx context.Context, d time.Duration, boot int) error {
	working, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	if w.awaitStage(working, func(s stage) bool { return s.down() || s.boot != boot }) {
		return errCut
	}
	if !w.awaitAnswering(ctx) {
		return ctx.Err()
	}
	return nil
}

// awaitAnswering waits while the host hangs. It returns false when ctx ended before.
func (w *worker) awaitAnswering(ctx context.Context) bool {
	return w.awaitStage(ctx, func(s stage) bool { return !s.hung() })
}
