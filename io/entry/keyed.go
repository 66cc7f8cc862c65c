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

// fingerprint tells requests apart that use the same key, from what is known before the body is read.
func fingerprint(r *http.Request, c call) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\n%s\n%s\n%s\n%d\n%s",
		r.Method, c.queue.Name, c.rawPath, r.URL.RawQuery, r.ContentLength, r.Header.Get("Content-Type")))
	return hex.EncodeToString(sum[:16])
}

func claimKey(c call) string {
	return "request/" + c.queue.Organisation + "/" + url.PathEscape(c.key)
}

// serveKeyed has a request with an Idempotency-Key run by at most one arrival at any entry host.
func (s *Server) serveKeyed(w http.ResponseWriter, r *http.Request, c call, b *body) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	key, mark := claimKey(c), fingerprint(r, c)
	for {
		fl, first := s.flights.join(key)
		again := false
		if first {
			again = s.claim(ctx, w, r, c, b, claimAttempt{key: key, mark: mark, flight: fl})
		} else {
			again = s.follow(ctx, w, c, fl, mark)
		}
		if !again {
			return
		}
	}
}

// claimAttempt is one try to claim a key.
type claimAttempt struct {
	key, mark string
	flight    *flight
}

// claim claims the key and runs the request, or gives the duplicate what the first run
// brought. again tells that the key was released and may be claimed once more.
func (s *Server) claim(ctx context.Context, w http.ResponseWriter, r *http.Request, c call, b *body, try claimAttempt) (again bool) {
	if refusal := s.pool(c.queue.Pool).check(c.waiter()); refusal.Reason != route.ReasonNone {
		s.flights.remove(try.key, try.flight)
		s.refuse(w, c, refusal, "")
		return false
	}
	claim := route.Claim{
		State:         route.ClaimClaimed,
		ID:            ulid.Make().String(),
		Holder:        s.Member,
		Fingerprint:   try.mark,
		ClaimedMillis: time.Now().UnixMilli(),
	}
	k := &keeper{server: s, key: try.key, claim: claim, flight: try.flight}
	err := s.insert(ctx, try.key, claim)
	var taken errTaken
	var unavailable platform.ErrUnavailable
	switch {
	case err == nil:
		c.keeper = k
		s.run(w, r, c, b)
	case errors.As(err, &taken):
		s.flights.remove(try.key, try.flight)
		return s.duplicate(ctx, w, c, try, taken.claim)
	case errors.As(err, &unavailable):
		s.flights.remove(try.key, try.flight)
		s.refuse(w, c, route.Refusal{Reason: route.ReasonStoreUnavailable, RetryAfter: storeRetryAfter}, "")
	default:
		// The claim may stand, but nothing was dispatched for it: it is released when the store is back.
		s.giveBack(k)
		s.refuse(w, c, route.Refusal{Reason: route.ReasonStoreUnavailable, RetryAfter: storeRetryAfter}, "")
	}
	return false
}

// storeRetryAfter is when a store that is down is worth another try.
const storeRetryAfter = 2 * time.Second

func (s *Server) insert(ctx context.Context, key string, claim route.Claim) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	return s.group.write(ctx, &rowChange{key: key, claim: claim.ID, insert: true, value: value})
}

// giveBack gives up a claim that may stand in the store and was not used.
func (s *Server) giveBack(k *keeper) {
	if claim, err := k.claim.With(route.ClaimProveNotRun); err == nil {
		k.ended = true
		k.claim = claim
		k.flight.conclude(claim)
		s.flights.postpone(k)
	}
}

// follow waits for the end of a run at this entry host. again tells that the key may be claimed once more.
func (s *Server) follow(ctx context.Context, w http.ResponseWriter, c call, fl *flight, mark string) (again bool) {
	select {
	case <-fl.ended:
	case <-ctx.Done():
		s.state(w, c, route.OutcomeUnknown, route.ReasonDeadline, "the first run with the key has not ended")
		return false
	}
	if fl.claim.ID == "" {
		return true
	}
	if fl.claim.State != route.ClaimReleased {
		s.giveDuplicate(ctx, w, c, fl.claim, fl.claim.Decide(mark, false))
		return false
	}
	select {
	case <-fl.gone:
		return true
	case <-ctx.Done():
		s.refuse(w, c, route.Refusal{Reason: route.ReasonStoreUnavailable, RetryAfter: storeRetryAfter}, "")
		return false
	}
}
