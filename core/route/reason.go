package route

import "time"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Reason -transform=kebab -text -json -trimprefix=Reason -output=reason_enumer.go

// Reason tells why a request has no whole answer.
type Reason int

// Reasons that a request has no whole answer.
const (
	ReasonNone Reason = iota
	// ReasonBadRequest means that the request itself is at fault.
	ReasonBadRequest
	// ReasonTooLarge means that the body is longer than the entry host takes.
	ReasonTooLarge
	// ReasonUnknownQueue means that the configuration has no such queue.
	ReasonUnknownQueue
	// ReasonUnknownTeam means that the configuration has no such team in the organisation.
	ReasonUnknownTeam
	// ReasonQueueFull means that as many requests wait as the queue may hold.
	ReasonQueueFull
	// ReasonTeamFull means that as many requests wait as the team may hold.
	ReasonTeamFull
	// ReasonDisplaced means that a waiting request made room for a team with fewer of them.
	ReasonDisplaced
	// ReasonDeadline means that the deadline would pass, or passed, before an answer.
	ReasonDeadline
	// ReasonNoTargets means that no target may receive new work.
	ReasonNoTargets
	// ReasonUnvouched means that the entry host cannot vouch for the pool's hosts.
	ReasonUnvouched
	// ReasonDraining means that the entry host is shutting down.
	ReasonDraining
	// ReasonStoreUnavailable means that an Idempotency-Key could not be claimed.
	ReasonStoreUnavailable
	// ReasonKeyReused means that the Idempotency-Key belongs to another request.
	ReasonKeyReused
	// ReasonKeyUnresolved means that the first run with the Idempotency-Key has no known answer.
	ReasonKeyUnresolved
	// ReasonTargetFailed means that the last attempt at a target failed.
	ReasonTargetFailed
	// ReasonCallerGone means that the caller went away first.
	ReasonCallerGone
)

// Refusal is a decision not to run a request.
type Refusal struct {
	Reason Reason
	// RetryAfter is when another try makes sense.
	RetryAfter time.Duration
}
