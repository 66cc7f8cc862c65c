package route

import (
	_ "embed" // the state chart

	"siskincross/core/chart"
)

//go:embed claim.toml
var claimChartText string

// claimChart is the life of a claim. Nothing leads from answered or unknown back to claimed:
// a key that may have been run is never run again.
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

// Claim is the row of an Idempotency-Key: who may run its request, and what came of it.
type Claim struct {
	State chart.State `json:"state"`
	// ID names the claim; a row that was released and claimed again has another.
	ID string `json:"id"`
	// Holder is the entry host's incarnation that runs the request.
	Holder string `json:"holder"`
	// Fingerprint tells requests apart that use the same key.
	Fingerprint string `json:"fingerprint"`
	// ClaimedMillis is the holder's Unix time in milliseconds, for removing old rows only.
	ClaimedMillis int64 `json:"claimed-millis"`
	// Answer is set in the answered state only.
	Answer *KeptAnswer `json:"answer,omitempty"`
}

// KeptAnswer is a target's whole answer.
type KeptAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	// Body holds a short body; it is empty when Parts are given.
	Body []byte `json:"body,omitempty"`
	// Parts name the objects that hold a long body, in order.
	Parts []string `json:"parts,omitempty"`
	// Length is the body's length in bytes.
	Length int64 `json:"length"`
}

// With returns the claim after an event, or chart.ErrRefused.
func (c Claim) With(e chart.Event) (Claim, error) {
	next, err := claimChart.Next(c.State, e)
	if err != nil {
		return c, err
	}
	c.State = next
	return c, nil
}

// WithAnswer returns the claim after its answer was kept, or chart.ErrRefused.
func (c Claim) WithAnswer(a KeptAnswer) (Claim, error) {
	c, err := c.With(ClaimAnswer)
	if err == nil {
		c.Answer = &a
	}
	return c, err
}

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Duplicate -transform=kebab -trimprefix=Duplicate -output=claim_enumer.go

// Duplicate is what a request with a key that is claimed already gets.
type Duplicate int

// Decisions on a duplicate.
const (
	// DuplicateWait means that the first run may still bring its answer.
	DuplicateWait Duplicate = iota
	// DuplicateReplay means that the kept answer is given again.
	DuplicateReplay
	// DuplicateOrphan means that the holder has forgotten the claim; it becomes unknown.
	DuplicateOrphan
	// DuplicateUnknown means that the first run may have happened and has no answer.
	DuplicateUnknown
	// DuplicateMismatch means that the key belongs to another request.
	DuplicateMismatch
)

// Decide tells what another request with the key gets. holderAlive tells whether the
// holder is known to be able to bring the answer still.
func (c Claim) Decide(fingerprint string, holderAlive bool) Duplicate {
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
