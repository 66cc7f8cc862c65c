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
	// maxInlineBytes bounds a response body that is stored in the claim's row. Longer bodies go to the object store.
	maxInlineBytes = 4 * kib
	// partBytes is the minimum size of the objects that hold a long body, except for the last.
	partBytes = 256 * kib
	// storeTimeout bounds each attempt to store a part or a final claim.
	storeTimeout = 2 * time.Second
)

// claimWriter writes the final state of one claim: the stored response, or that there is none.
type claimWriter struct {
	server   *Server
	key      string
	claim    route.Claim
	inflight *inflightKey
	// buffered holds the bytes of the response body that are not in an object yet.
	buffered []byte
	stored   route.StoredAnswer
	// storeFailed is set once a part could not be stored.
	storeFailed bool
	// completed is set once the final state was determined; later calls have no effect.
	completed bool
}

// appendBody adds the next bytes of the response body.
func (cw *claimWriter) appendBody(ctx context.Context, chunk []byte) {
	cw.stored.Length += int64(len(chunk))
	if cw.storeFailed {
		return
	}
	cw.buffered = append(cw.buffered, chunk...)
	if len(cw.buffered) >= partBytes {
		cw.storePart(ctx)
	}
}

// partName returns the name of the object that holds a part of a claim's response.
func partName(claim string, index int) string { return fmt.Sprintf("request/%s/%d", claim, index) }

// storePart writes the buffered bytes to an object.
func (cw *claimWriter) storePart(ctx context.Context) {
	name := partName(cw.claim.ID, len(cw.stored.ObjectNames))
	put := cw.server.Objects.Put
	if put == nil {
		cw.storeFailed = true
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := retryWithBackoff(ctx, func() error { return put(ctx, name, cw.buffered) })
	cw.storeFailed = err != nil
	cw.stored.ObjectNames = append(cw.stored.ObjectNames, name)
	cw.buffered = cw.buffered[:0]
}

// completeAnswered stores the response after its last bytes were added. If a part could not be stored, the outcome
// becomes unknown.
func (cw *claimWriter) completeAnswered(ctx context.Context, response *http.Response) {
	if len(cw.stored.ObjectNames) > 0 || len(cw.buffered) > maxInlineBytes {
		if len(cw.buffered) > 0 && !cw.storeFailed {
			cw.storePart(ctx)
		}
	} else {
		cw.stored.Body = cw.buffered
	}
	if cw.storeFailed {
		cw.completeUnanswered(ctx, route.ClaimLose)
		return
	}
	cw.stored.Status = response.StatusCode
	cw.stored.Header = storedHeader(response.Header)
	claim, err := cw.claim.WithAnswer(cw.stored)
	if err == nil {
		cw.writeFinal(ctx, claim)
	}
}

// completeUnanswered applies the event e to the claim of a request that ended without an answer.
func (cw *claimWriter) completeUnanswered(ctx context.Context, e chart.Event) {
	claim, err := cw.claim.WithEvent(e)
	if err == nil {
		cw.writeFinal(ctx, claim)
	}
}

// writeFinal writes the final state of the claim. After storeTimeout the write continues in the background, and this
// entry host keeps the state in memory until the row holds it.
func (cw *claimWriter) writeFinal(ctx context.Context, claim route.Claim) {
	if cw.completed {
		return
	}
	cw.completed = true
	cw.claim = claim
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	cw.inflight.setResult(claim)
	if cw.writeRow(ctx) {
		return
	}
	cw.server.inflight.deferWrite(cw)
}

// writeRow writes the final state to the claim's row, or deletes the row of a released claim. It reports whether no
// further attempt is needed.
func (cw *claimWriter) writeRow(ctx context.Context) bool {
	c := &rowChange{key: cw.key, claim: cw.claim.ID}
	if cw.claim.State != route.ClaimReleased {
		value, err := json.Marshal(cw.claim)
		if err != nil {
			return true
		}
		c.value = value
	}
	err := cw.server.committer.write(ctx, c)
	if err == nil || isNotOwned(err) {
		cw.server.inflight.remove(cw.key, cw.inflight)
		return true
	}
	return false
}

// storedHeader returns the headers of a response that are stored and replayed with it.
func storedHeader(h http.Header) map[string][]string {
	stored := make(map[string][]string, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) && name != "Date" {
			stored[name] = values
		}
	}
	return stored
}
