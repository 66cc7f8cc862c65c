package route

import (
	_ "embed" // the state chart

	"siskincross/core/chart"
)

//go:embed claim.toml
var claimChartText string

// claimChart is the state machine of a claim. It has no transition from answered or unknown back to claimed:
// a request that may have been run is never run again.
var claimChart = chart.MustParse(claimChartText)

// States of a claim.
const (
	ClaimClaimed  chart.State = "claimed"
	ClaimAnswered chart.State = "answered"
	ClaimUnknown  chart.State = "unknown"
	ClaimReleased chart.State = "released"
)

// Events of a claim.
const (
	ClaimAnswer      chart.Event = "answer"
	ClaimProveNotRun chart.Event = "prove-not-run"
	ClaimLose        chart.Event = "lose"
)

// Claim is the row of an Idempotency-Key: which entry host runs its request, and the outcome.
type Claim struct {
	State chart.State `json:"state"`
	// ID is the ID of the claim. A key that was released and claimed again has a new one.
	ID string `json:"id"`
	// Holder is the incarnation of the entry host that runs the request.
	Holder string `json:"holder"`
	// Fingerprint distinguishes requests that use the same key.
	Fingerprint string `json:"fingerprint"`
	// ClaimedMillis is the time of the claim by the holder's clock, in Unix milliseconds. It is used only to remove old rows.
	ClaimedMillis int64 `json:"claimed-millis"`
	// Answer is set in the answered state only.
	Answer *StoredAnswer `json:"answer,omitempty"`
}

// StoredAnswer is the whole answer of a target, as stored with a claim.
type StoredAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	// Body holds a short body; it is empty for a long one.
	Body []byte `json:"body,omitempty"`
	// ObjectNames holds the names of the objects with the parts of a long body, in order.
	ObjectNames []string `json:"parts,omitempty"`
	// Length is the body's length in bytes.
	Length int64 `json:"length"`
}

// WithEvent returns the claim after an event. It returns chart.ErrRefused if the claim's state does not allow the event.
func (c Claim) WithEvent(e chart.Event) (Claim, error) {
	next, err := claimChart.Next(c.State, e)
	if err != nil {
		return c, err
	}
	c.State = next
	return c, nil
}

// WithAnswer returns the answered claim with its answer. It returns chart.ErrRefused if the claim's state does not allow that.
func (c Claim) WithAnswer(a StoredAnswer) (Claim, error) {
	c, err := c.WithEvent(ClaimAnswer)
	if err == nil {
		c.Answer = &a
	}
	return c, err
}

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Duplicate -transform=kebab -trimprefix=Duplicate -output=claim_enumer.go

// Duplicate is the decision on a request whose key is claimed already.
type Duplicate int

// Decisions on a duplicate.
const (
	// DuplicateWait means that the first request is in progress and may still be answered.
	DuplicateWait Duplicate = iota
	// DuplicateReplay means that the request gets the stored answer.
	DuplicateReplay
	// DuplicateOrphan means that the holder is gone or no longer has the claim, which becomes unknown.
	DuplicateOrphan
	// DuplicateUnknown means that the first request may have been run and has no known answer.
	DuplicateUnknown
	// DuplicateMismatch means that the key belongs to another request.
	DuplicateMismatch
)

// DecideDuplicate returns the decision on another request with the key. holderAlive is whether the
// holder can still complete the first request.
func (c Claim) DecideDuplicate(fingerprint string, holderAlive bool) Duplicate {
	if c.Fingerprint != fingerprint {
		return DuplicateMismatch
	}
	switch c.State {
	case ClaimAnswered:
		return DuplicateReplay
	case ClaimUnknown:
		return DuplicateUnknown
	}
	if holderAlive {
		return DuplicateWait
	}
	return DuplicateOrphan
}
