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
	// minPollInterval and maxPollInterval bound the pauses between looks at a claim that another entry host holds.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// holderLapseTimeout is how long a holder's member row may stand still before its claims are given up.
	holderLapseTimeout = 10 * time.Second
)

// serveDuplicate gives a request whose key another arrival has claimed what that brought, and waits
// for it if need be. again tells that the first arrival was not run and released the key.
func (s *Server) serveDuplicate(ctx context.Context, w http.ResponseWriter, c callerRequest, try claimAttempt, claim route.Claim) (again bool) {
	watch := holderWatch{self: s.Member}
	pauses := &backoff.ExponentialBackOff{InitialInterval: minPollInterval, MaxInterval: maxPollInterval, Multiplier: 2, RandomizationFactor: 0.5}
	pauses.Reset()
	for {
		decision := claim.Decide(try.fingerprint, watch.alive(claim.Holder, time.Now()))
		if decision == route.DuplicateOrphan {
			s.markUnknown(ctx, try.key, claim)
			decision = route.DuplicateUnknown
		}
		if decision != route.DuplicateWait {
			s.respondDuplicate(ctx, w, c, claim, decision)
			return false
		}
		select {
		case <-time.After(pauses.NextBackOff()):
		case <-ctx.Done():
			s.respondProblem(w, c, route.OutcomeUnknown, route.ReasonDeadline, "the first run with the key has not ended")
			return false
		}
		found, ok := s.readClaim(ctx, try.key, claim, &watch)
		if !ok {
			return true
		}
		claim = found
	}
}

// readClaim reads a claim and its holder's member row. It reports false if the claim was released.
// While the store does not answer, the claim is as it was.
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

// holderWatch tells from a holder's member row whether it can still bring the answer.
type holderWatch struct {
	self string
	// version was first seen at since; a zero since means that the row was not read yet.
	version uint64
	since   time.Time
}

func (h *holderWatch) observe(version uint64, now time.Time) {
	if h.since.IsZero() || version != h.version {
		h.version, h.since = version, now
	}
}

// restartLapse begins the lapse anew: while the own reads fail, the holder may fail to write for the same reason.
func (h *holderWatch) restartLapse(now time.Time) {
	if !h.since.IsZero() {
		h.since = now
	}
}

// alive reports false once the row has stood still for a whole lapse on the own clock. A claim of
// this entry host itself is no longer held: else a flight would have been found.
func (h *holderWatch) alive(holder string, now time.Time) bool {
	if holder == h.self {
		return false
	}
	return h.since.IsZero() || now.Sub(h.since) < holderLapseTimeout
}

// markUnknown marks the claim of a holder that is gone as unknown. If that fails, the next arrival does it.
func (s *Server) markUnknown(ctx context.Context, key string, claim route.Claim) {
	lost, err := claim.With(route.ClaimLose)
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

// respondDuplicate answers a duplicate by a decision other than to wait.
func (s *Server) respondDuplicate(ctx context.Context, w http.ResponseWriter, c callerRequest, claim route.Claim, decision route.Duplicate) {
	switch decision {
	case route.DuplicateReplay:
		s.replayResponse(ctx, w, c, *claim.Answer)
	case route.DuplicateMismatch:
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonKeyReused}, "the key belongs to another request")
	default:
		s.respondProblem(w, c, route.OutcomeUnknown, route.ReasonKeyUnresolved, "the first run with the key has no known answer")
	}
}

// replayResponse gives a kept answer again.
func (s *Server) replayResponse(ctx context.Context, w http.ResponseWriter, c callerRequest, a route.KeptAnswer) {
	var first []byte
	if len(a.Parts) > 0 {
		content, err := s.Objects.Get(ctx, a.Parts[0])
		if err != nil {
			s.respondProblem(w, c, route.OutcomeUnknown, route.ReasonStoreUnavailable, "the kept answer can't be read now")
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
	for i := 1; i < len(a.Parts); i++ {
		content, err := s.Objects.Get(ctx, a.Parts[i])
		if err != nil {
			s.recordOutcome(c, route.OutcomeUnknown, "aborted: a part of the kept answer can't be read")
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(content)
	}
	s.record(event.Event{Number: event.RequestReplayed, Organisation: c.queue.Organisation, Pool: c.queue.Pool, Request: c.id})
	s.recordOutcome(c, route.OutcomeAnswered, "replayed")
}
