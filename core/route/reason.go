package route

import "time"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Reason -transform=kebab -text -json -trimprefix=Reason -output=reason_enumer.go

// Reason is the reason why a request has no complete answer.
type Reason int

// Reasons why a request has no complete answer.
const (
	ReasonNone Reason = iota
	// ReasonBadRequest means that the request is malformed.
	ReasonBadRequest
	// ReasonTooLarge means that the body is longer than the entry host accepts.
	ReasonTooLarge
	// ReasonUnknownQueue means that the configuration has no such queue.
	ReasonUnknownQueue
	// ReasonUnknownTeam means that the organisation has no such team in the configuration.
	ReasonUnknownTeam
	// ReasonQueueFull means that the queue has its maximum number of waiting requests.
	ReasonQueueFull
	// ReasonTeamFull means that the team has its maximum number of waiting requests.
	ReasonTeamFull
	// ReasonDisplaced means that a waiting request was displaced by one of a team with fewer waiting requests.
	ReasonDisplaced
	// ReasonDeadline means that the deadline passed, or was expected to pass, before an answer.
	ReasonDeadline
	// ReasonNoTargets means that no target may receive new work.
	ReasonNoTargets
	// ReasonUnvouched means that the entry host's list of the pool's targets is not confirmed to be current.
	ReasonUnvouched
	// ReasonDraining means that the entry host is shutting down.
	ReasonDraining
	// ReasonStoreUnavailable means that an Idempotency-Key could not be claimed.
	ReasonStoreUnavailable
	// ReasonKeyReused means that the Idempotency-Key belongs to another request.
	ReasonKeyReused
	// ReasonKeyUnresolved means that the first request with the Idempotency-Key has no known answer.
	ReasonKeyUnresolved
	// ReasonTargetFailed means that the last attempt at a target failed.
	ReasonTargetFailed
	// ReasonCallerGone means that the caller closed its connection.
	ReasonCallerGone
)

// Refusal is a decision not to run a request.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before a retry.
	RetryAfter time.Duration
}
