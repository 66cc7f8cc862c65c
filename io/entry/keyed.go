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

// headerReplayed marks an answer that was kept from an earlier arrival.
const headerReplayed = "Siskincross-Replayed"

// requestFingerprint tells requests apart that use the same key, from what is known before the body is read.
func requestFingerprint(r *http.Request, c callerRequest) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\n%s\n%s\n%s\n%d\n%s",
		r.Method, c.queue.Name, c.rawPath, r.URL.RawQuery, r.ContentLength, r.Header.Get("Content-Type")))
	return hex.EncodeToString(sum[:16])
}

func claimKey(c callerRequest) string {
	return "request/" + c.queue.Organisation + "/" + url.PathEscape(c.key)
}

// serveKeyed has a request with an Idempotency-Key run by at most one arrival at any entry host.
func (s *Server) serveKeyed(w http.ResponseWriter, r *http.Request, c callerRequest, b *body) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	key, mark := claimKey(c), requestFingerprint(r, c)
	for {
		fl, first := s.inflight.join(key)
		again := false
		if first {
			again = s.claimAndRun(ctx, w, r, c, b, claimAttempt{key: key, fingerprint: mark, inflight: fl})
		} else {
			again = s.awaitInflight(ctx, w, c, fl, mark)
		}
		if !again {
			return
		}
	}
}

// claimAttempt is one try to claim a key.
type claimAttempt struct {
	key, fingerprint string
	inflight         *inflightKey
}

// claimAndRun claims the key and runs the request, or gives the duplicate what the first run
// brought. again tells that the key was released and may be claimed once more.
func (s *Server) claimAndRun(ctx context.Context, w http.ResponseWriter, r *http.Request, c callerRequest, b *body, try claimAttempt) (again bool) {
	if refusal := s.pool(c.queue.Pool).admissionRefusal(c.waiter()); refusal.Reason != route.ReasonNone {
		s.inflight.remove(try.key, try.inflight)
		s.respondNotRun(w, c, refusal, "")
		return false
	}
	claim := route.Claim{
		State:         route.ClaimClaimed,
		ID:            ulid.Make().String(),
		Holder:        s.Member,
		Fingerprint:   try.fingerprint,
		ClaimedMillis: time.Now().UnixMilli(),
	}
	k := &claimWriter{server: s, key: try.key, claim: claim, inflight: try.inflight}
	err := s.insertClaim(ctx, try.key, claim)
	var taken keyClaimedError
	var unavailable platform.ErrUnavailable
	switch {
	case err == nil:
		c.claim = k
		s.dispatch(w, r, c, b)
	case errors.As(err, &taken):
		s.inflight.remove(try.key, try.inflight)
		return s.serveDuplicate(ctx, w, c, try, taken.claim)
	case errors.As(err, &unavailable):
		s.inflight.remove(try.key, try.inflight)
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonStoreUnavailable, RetryAfter: storeRetryAfter}, "")
	default:
		// The claim may stand, but nothing was dispatched for it: it is released when the store is back.
		s.releaseUnusedClaim(k)
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonStoreUnavailable, RetryAfter: storeRetryAfter}, "")
	}
	return false
}

// storeRetryAfter is when a store that is down is worth another try.
const storeRetryAfter = 2 * time.Second

func (s *Server) insertClaim(ctx context.Context, key string, claim route.Claim) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	return s.committer.write(ctx, &rowChange{key: key, claim: claim.ID, insert: true, value: value})
}

// releaseUnusedClaim gives up a claim that may stand in the store and was not used.
func (s *Server) releaseUnusedClaim(k *claimWriter) {
	if claim, err := k.claim.With(route.ClaimProveNotRun); err == nil {
		k.completed = true
		k.claim = claim
		k.inflight.setResult(claim)
		s.inflight.deferWrite(k)
	}
}

// awaitInflight waits for the end of a run at this entry host. again tells that the key may be claimed once more.
func (s *Server) awaitInflight(ctx context.Context, w http.ResponseWriter, c callerRequest, fl *inflightKey, mark string) (again bool) {
	select {
	case <-fl.done:
	case <-ctx.Done():
		s.respondProblem(w, c, route.OutcomeUnknown, route.ReasonDeadline, "the first run with the key has not ended")
		return false
	}
	if fl.claim.ID == "" {
		return true
	}
	if fl.claim.State != route.ClaimReleased {
		s.respondDuplicate(ctx, w, c, fl.claim, fl.claim.Decide(mark, false))
		return false
	}
	select {
	case <-fl.removed:
		return true
	case <-ctx.Done():
		s.respondNotRun(w, c, route.Refusal{Reason: route.ReasonStoreUnavailable, RetryAfter: storeRetryAfter}, "")
		return false
	}
}
