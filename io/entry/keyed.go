package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/oklog/ulid/v2"

	"siskincross/core/route"
	"siskincross/io/platform"
)

// headerReplayed marks a response that was stored for an earlier request with the same key.
const headerReplayed = "Siskincross-Replayed"

// requestFingerprint distinguishes different requests with the same key. It covers what is known before the body is
// read.
func requestFingerprint(r *http.Request, c callerRequest) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\n%s\n%s\n%s\n%d\n%s",
		r.Method, c.queue.Name, c.rawPath, r.URL.RawQuery, r.ContentLength, r.Header.Get("Content-Type")))
	return hex.EncodeToString(sum[:16])
}

// claimKey returns the row key of the claim of the request's Idempotency-Key.
func claimKey(c callerRequest) string {
	return "request/" + c.queue.Organisation + "/" + url.PathEscape(c.key)
}

// serveKeyed serves a request with an Idempotency-Key. Of all requests with the key, at all entry hosts, at most one
// is run.
func (s *Server) serveKeyed(w http.ResponseWriter, r *http.Request, c callerRequest, b *body) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	key, fingerprint := claimKey(c), requestFingerprint(r, c)
	for {
		entry, first := s.inflight.join(key)
		retry := false
		if first {
			retry = s.claimAndRun(ctx, w, r, c, b, claimAttempt{key: key, fingerprint: fingerprint, inflight: entry})
		} else {
			retry = s.awaitInflight(ctx, w, c, entry, fingerprint)
		}
		if !retry {
			return
		}
	}
}

// claimAttempt is one attempt to claim a key.
type claimAttempt struct {
	key, fingerprint string
	inflight         *inflightKey
}

// claimAndRun claims the key and runs the request, or serves it as a duplicate if the key is claimed. It
// returns true if the key was released and may be claimed again.
func (s *Server) claimAndRun(ctx context.Context, w http.ResponseWriter, r *http.Request, c callerRequest, b *body, attempt claimAttempt) (retry bool) {
	if refusal := s.pool(c.queue.Pool).admissionRefusal(c.waiter()); refusal.Reason != route.ReasonNone {
		s.inflight.remove(attempt.key, attempt.inflight)
		s.respondNotRun(w, c, refusal, "")
		return false
	}
	claim := route.Claim{
		State:         route.ClaimClaimed,
		ID:            ulid.Make().String(),
		Holder:        s.Member,
		Fingerprint:   attempt.fingerprint,
		ClaimedMillis: time.Now().UnixMilli(),
	}
	writer := &claimWriter{server: s, key: attempt.key, claim: claim, inflight: attempt.inflight}
	err := s.insertClaim(ctx, attempt.key, claim)
	var taken keyClaimedError
	var unavailable platform.ErrUnavailable
	switch {
	case err == nil:
		c.claim = writer
		s.dispatch(w, r, c, b)
	case errors.As(err, &taken):
		s.inflight.remove(attempt.key, attempt.inflight)
		return s.serveDuplicate(ctx, w, c, attempt, taken.claim)
	case errors.As(err, &unavailable):
		s.inflight.remove(attempt.key, attempt.inflight)
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonStoreUnavailable, RetryAfter: storeRetryAfter}, "")
	default:
		// The claim may have been written, but the request was not sent. The claim is released once the store is
		// available.
		s.releaseUnusedClaim(writer)
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonStoreUnavailable, RetryAfter: storeRetryAfter}, "")
	}
	return false
}

// storeRetryAfter is the Retry-After of a request that was refused because the store is unavailable.
const storeRetryAfter = 2 * time.Second

// insertClaim writes the claim's row, which must not exist.
func (s *Server) insertClaim(ctx context.Context, key string, claim route.Claim) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	return s.committer.write(ctx, &rowChange{key: key, claim: claim.ID, insert: true, value: value})
}

// releaseUnusedClaim releases a claim that may have been written and for which no request was sent.
func (s *Server) releaseUnusedClaim(writer *claimWriter) {
	if claim, err := writer.claim.WithEvent(route.ClaimProveNotRun); err == nil {
		writer.completed = true
		writer.claim = claim
		writer.inflight.setResult(claim)
		s.inflight.deferWrite(writer)
	}
}

// awaitInflight waits until the request with the same key that this entry host is running has ended, and serves the
// duplicate from its result. It returns true if the key may be claimed again.
func (s *Server) awaitInflight(ctx context.Context, w http.ResponseWriter, c callerRequest, entry *inflightKey, fingerprint string) (retry bool) {
	select {
	case <-entry.done:
	case <-ctx.Done():
		s.respondProblem(w, c, route.OutcomeUnknown, route.ReasonDeadline, "the first request with the key has not ended")
		return false
	}
	if entry.claim.ID == "" {
		return true
	}
	if entry.claim.State != route.ClaimReleased {
		s.respondDuplicate(ctx, w, c, entry.claim, entry.claim.DecideDuplicate(fingerprint, false))
		return false
	}
	select {
	case <-entry.removed:
		return true
	case <-ctx.Done():
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonStoreUnavailable, RetryAfter: storeRetryAfter}, "")
		return false
	}
}
