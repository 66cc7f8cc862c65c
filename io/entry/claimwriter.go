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
	// maxInlineBytes bounds a body that is kept in the claim's row; longer ones go to the object store.
	maxInlineBytes = 4 * kib
	// partBytes is the size of the objects that hold a long body.
	partBytes = 256 * kib
	// storeTimeout bounds how long an answer waits until it is kept.
	storeTimeout = 2 * time.Second
)

// claimWriter runs one claimed request to its end: it keeps the answer, or notes that there is none.
type claimWriter struct {
	server   *Server
	key      string
	claim    route.Claim
	inflight *inflightKey
	// buffered holds the bytes of the body that are in no object yet.
	buffered []byte
	answer   route.KeptAnswer
	// storeFailed tells that a part could not be kept.
	storeFailed bool
	completed   bool
}

// appendBody keeps the next bytes of the body.
func (k *claimWriter) appendBody(ctx context.Context, chunk []byte) {
	k.answer.Length += int64(len(chunk))
	if k.storeFailed {
		return
	}
	k.buffered = append(k.buffered, chunk...)
	if len(k.buffered) >= partBytes {
		k.storePart(ctx)
	}
}

func (k *claimWriter) storePart(ctx context.Context) {
	name := fmt.Sprintf("request/%s/%d", k.claim.ID, len(k.answer.Parts))
	put := k.server.Objects.Put
	if put == nil {
		k.storeFailed = true
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := retryWithBackoff(ctx, func() error { return put(ctx, name, k.buffered) })
	k.storeFailed = err != nil
	k.answer.Parts = append(k.answer.Parts, name)
	k.buffered = k.buffered[:0]
}

// completeAnswered keeps the whole answer after its last bytes.
func (k *claimWriter) completeAnswered(ctx context.Context, response *http.Response) {
	if len(k.answer.Parts) > 0 || len(k.buffered) > maxInlineBytes {
		if len(k.buffered) > 0 && !k.storeFailed {
			k.storePart(ctx)
		}
	} else {
		k.answer.Body = k.buffered
	}
	if k.storeFailed {
		k.completeUnanswered(ctx, route.ClaimLose)
		return
	}
	k.answer.Status = response.StatusCode
	k.answer.Header = storedHeader(response.Header)
	claim, err := k.claim.WithAnswer(k.answer)
	if err == nil {
		k.writeFinal(ctx, claim)
	}
}

// completeUnanswered notes that the request ended without an answer.
func (k *claimWriter) completeUnanswered(ctx context.Context, e chart.Event) {
	claim, err := k.claim.With(e)
	if err == nil {
		k.writeFinal(ctx, claim)
	}
}

// writeFinal writes the claim's last state. If that takes long, it goes on in the
// background, and this entry host remembers the state until the row holds it.
func (k *claimWriter) writeFinal(ctx context.Context, claim route.Claim) {
	if k.completed {
		return
	}
	k.completed = true
	k.claim = claim
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.inflight.setResult(claim)
	if k.writeRow(ctx) {
		return
	}
	k.server.inflight.deferWrite(k)
}

// writeRow makes the claim's row hold its last state. It reports whether nothing is left to do.
func (k *claimWriter) writeRow(ctx context.Context) bool {
	c := &rowChange{key: k.key, claim: k.claim.ID}
	if k.claim.State != route.ClaimReleased {
		value, err := json.Marshal(k.claim)
		if err != nil {
			return true
		}
		c.value = value
	}
	err := k.server.committer.write(ctx, c)
	if err == nil || isNotOwned(err) {
		k.server.inflight.remove(k.key, k.inflight)
		return true
	}
	return false
}

// storedHeader returns the headers of an answer that are given again with it.
func storedHeader(h http.Header) map[string][]string {
	kept := make(map[string][]string, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) && name != "Date" {
			kept[name] = values
		}
	}
	return kept
}
