package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"siskincross/core/chart"
	"siskincross/core/route"
)

const (
	// rowAnswerBytes bounds a body that is kept in the claim's row; longer ones go to the object store.
	rowAnswerBytes = 4 * kib
	// partBytes is the size of the objects that hold a long body.
	partBytes = 256 * kib
	// keepTimeout bounds how long an answer waits until it is kept.
	keepTimeout = 2 * time.Second
)

// keeper runs one claimed request to its end: it keeps the answer, or notes that there is none.
type keeper struct {
	server *Server
	key    string
	claim  route.Claim
	flight *flight
	// part holds the bytes of the body that are in no object yet.
	part   []byte
	answer route.KeptAnswer
	// failed tells that a part could not be kept.
	failed bool
	ended  bool
}

// add keeps the next bytes of the body.
func (k *keeper) add(ctx context.Context, chunk []byte) {
	k.answer.Length += int64(len(chunk))
	if k.failed {
		return
	}
	k.part = append(k.part, chunk...)
	if len(k.part) >= partBytes {
		k.putPart(ctx)
	}
}

func (k *keeper) putPart(ctx context.Context) {
	name := fmt.Sprintf("request/%s/%d", k.claim.ID, len(k.answer.Parts))
	put := k.server.Objects.Put
	if put == nil {
		k.failed = true
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	err := retryBriefly(ctx, func() error { return put(ctx, name, k.part) })
	k.failed = err != nil
	k.answer.Parts = append(k.answer.Parts, name)
	k.part = k.part[:0]
}

// finish keeps the whole answer after its last bytes.
func (k *keeper) finish(ctx context.Context, response *http.Response) {
	if len(k.answer.Parts) > 0 || len(k.part) > rowAnswerBytes {
		if len(k.part) > 0 && !k.failed {
			k.putPart(ctx)
		}
	} else {
		k.answer.Body = k.part
	}
	if k.failed {
		k.end(ctx, route.ClaimLose)
		return
	}
	k.answer.Status = response.StatusCode
	k.answer.Header = keptHeader(response.Header)
	claim, err := k.claim.WithAnswer(k.answer)
	if err == nil {
		k.conclude(ctx, claim)
	}
}

// end notes that the request ended without an answer.
func (k *keeper) end(ctx context.Context, e chart.Event) {
	claim, err := k.claim.With(e)
	if err == nil {
		k.conclude(ctx, claim)
	}
}

// conclude writes the claim's last state. If that takes long, it goes on in the
// background, and this entry host remembers the state until the row holds it.
func (k *keeper) conclude(ctx context.Context, claim route.Claim) {
	if k.ended {
		return
	}
	k.ended = true
	k.claim = claim
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	k.flight.conclude(claim)
	if k.write(ctx) {
		return
	}
	k.server.flights.postpone(k)
}

// write makes the claim's row hold its last state. It reports whether nothing is left to do.
func (k *keeper) write(ctx context.Context) bool {
	c := &rowChange{key: k.key, claim: k.claim.ID}
	if k.claim.State != route.ClaimReleased {
		value, err := json.Marshal(k.claim)
		if err != nil {
			return true
		}
		c.value = value
	}
	err := k.server.group.write(ctx, c)
	if err == nil || isNotHeld(err) {
		k.server.flights.remove(k.key, k.flight)
		return true
	}
	return false
}

// keptHeader returns the headers of an answer that are given again with it.
func keptHeader(h http.Header) map[string][]string {
	kept := make(map[string][]string, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) && name != "Date" {
			kept[name] = values
		}
	}
	return kept
}
