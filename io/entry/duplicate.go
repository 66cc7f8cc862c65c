package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"siskincross/core/event"
	"siskincross/core/route"
	"siskincross/io/platform"
)

const (
	// minPollInterval and maxPollInterval bound the intervals at which a claim of another entry host is read.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// holderLapseTimeout is how long the member row of a holder may stay unchanged before its claims are orphaned.
	holderLapseTimeout = 10 * time.Second
)

// serveDuplicate serves a request whose key is claimed by another request. It waits for the outcome of that request
// and responds with it. It returns true if the other request was not run and its key was released.
func (s *Server) serveDuplicate(ctx context.Context, w http.ResponseWriter, c callerRequest, attempt claimAttempt, claim route.Claim) (retry bool) {
	watch := holderWatch{self: s.Member}
	intervals := &backoff.ExponentialBackOff{InitialInterval: minPollInterval, MaxInterval: maxPollInterval, Multiplier: 2, RandomizationFactor: 0.5}
	intervals.Reset()
	for {
		decision := claim.DecideDuplicate(attempt.fingerprint, watch.alive(claim.Holder, time.Now()))
		if decision == route.DuplicateOrphan {
			s.markUnknown(ctx, attempt.key, claim)
			decision = route.DuplicateUnknown
		}
		if decision != route.DuplicateWait {
			s.respondDuplicate(ctx, w, c, claim, decision)
			return false
		}
		select {
		case <-time.After(intervals.NextBackOff()):
		case <-ctx.Done():
			s.respondProblem(w, c, route.OutcomeUnknown, route.ReasonDeadline, "the first request with the key has not ended")
			return false
		}
		found, ok := s.readClaim(ctx, attempt.key, claim, &watch)
		if !ok {
			return true
		}
		claim = found
	}
}

// readClaim reads a claim and the member row of its holder. It returns false if the claim was released. If the store
// doesn't respond, or the row can't be decoded, it returns the last known claim.
func (s *Server) readClaim(ctx context.Context, key string, last route.Claim, watch *holderWatch) (route.Claim, bool) {
	member := "member/" + last.Holder
	rows, err := s.Table.Read(ctx, []string{key, member})
	if err != nil {
		watch.restartLapse(time.Now())
		return last, true
	}
	var found *platform.Row
	holder := uint64(0)
	for i, row := range rows {
		switch row.Key {
		case key:
			found = &rows[i]
		case member:
			holder = row.Version
		}
	}
	watch.observe(holder, time.Now())
	if found == nil {
		return last, false
	}
	var claim route.Claim
	if json.Unmarshal(found.Value, &claim) != nil {
		return last, true
	}
	return claim, true
}

// holderWatch determines from the member row of a claim's holder whether the holder is alive.
type holderWatch struct {
	// self is the name of this entry host's incarnation.
	self string
	// version is the last version of the row and since the time at which it was first read. A zero since means that
	// the row was not read yet.
	version uint64
	since   time.Time
}

// observe records the version of the holder's member row, 0 if there is none.
func (h *holderWatch) observe(version uint64, now time.Time) {
	if h.since.IsZero() || version != h.version {
		h.version, h.since = version, now
	}
}

// restartLapse restarts the lapse timeout after a failed read: the holder's writes may be failing for the same reason.
func (h *holderWatch) restartLapse(now time.Time) {
	if !h.since.IsZero() {
		h.since = now
	}
}

// alive reports whether the row has changed within the lapse timeout, by the local clock. A claim whose holder is this
// entry host has no live holder: otherwise its key would have been found in flight.
func (h *holderWatch) alive(holder string, now time.Time) bool {
	if holder == h.self {
		return false
	}
	return h.since.IsZero() || now.Sub(h.since) < holderLapseTimeout
}

// markUnknown writes the unknown state to an orphaned claim. If the write fails, the next request with the key retries
// it.
func (s *Server) markUnknown(ctx context.Context, key string, claim route.Claim) {
	lost, err := claim.WithEvent(route.ClaimLose)
	if err != nil {
		return
	}
	value, err := json.Marshal(lost)
	if err != nil {
		return
	}
	if err := s.committer.write(ctx, &rowChange{key: key, claim: claim.ID, value: value}); err == nil {
		s.record(event.Event{Number: event.ClaimLost, Detail: key + " was held by " + claim.Holder})
	}
}

// respondDuplicate responds to a duplicate request according to a decision other than DuplicateWait.
func (s *Server) respondDuplicate(ctx context.Context, w http.ResponseWriter, c callerRequest, claim route.Claim, decision route.Duplicate) {
	switch decision {
	case route.DuplicateReplay:
		s.replayResponse(ctx, w, c, *claim.Answer)
	case route.DuplicateMismatch:
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonKeyReused}, "key was used for a different request")
	default:
		s.respondProblem(w, c, route.OutcomeUnknown, route.ReasonKeyUnresolved, "the first request with the key has no known answer")
	}
}

// replayResponse responds with a stored response.
func (s *Server) replayResponse(ctx context.Context, w http.ResponseWriter, c callerRequest, a route.StoredAnswer) {
	var first []byte
	if len(a.ObjectNames) > 0 {
		content, err := s.Objects.Get(ctx, a.ObjectNames[0])
		if err != nil {
			s.respondProblem(w, c, route.OutcomeUnknown, route.ReasonStoreUnavailable, "the stored response can't be read")
			return
		}
		first = content
	}
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(headerOutcome, route.OutcomeAnswered.String())
	h.Set(headerRequestID, c.id)
	h.Set(headerReplayed, "true")
	if c.method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	_, _ = w.Write(first)
	for i := 1; i < len(a.ObjectNames); i++ {
		content, err := s.Objects.Get(ctx, a.ObjectNames[i])
		if err != nil {
			s.recordOutcome(c, route.OutcomeUnknown, "aborted: a part of the stored response can't be read")
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(content)
	}
	s.record(event.Event{Number: event.RequestReplayed, Organisation: c.queue.Organisation, Pool: c.queue.Pool, Request: c.id})
	s.recordOutcome(c, route.OutcomeAnswered, "replayed")
}
