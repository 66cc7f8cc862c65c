package route

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Outcome,Fault -transform=kebab -text -json -trimprefix=Outcome,Fault -output=outcome_enumer.go

// Outcome is the outcome of a request as reported to its caller. Every request has exactly one.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeAnswered means that the caller received the whole answer of a target.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that it is proved that no target ran the request.
	OutcomeNotRun
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown
)

// Fault is the way in which an attempt of a request at a target failed.
type Fault int

// Faults of an attempt.
const (
	// FaultNone means that the head of the target's answer arrived.
	FaultNone Fault = iota
	// FaultUnreachable means that no connection to the target could be opened.
	FaultUnreachable
	// FaultRefused means that the target proved that it did not start the request.
	FaultRefused
	// FaultCut means that the connection was lost before the answer was complete.
	FaultCut
	// FaultTimeout means that the deadline passed before the answer was complete.
	FaultTimeout
	// FaultGarbage means that the answer belonged to another request, was malformed or was too long.
	FaultGarbage
	// FaultCaller means that the caller closed its connection or did not complete the request body.
	FaultCaller
)

// Attempt is the result of one attempt of a request at a target.
type Attempt struct {
	Fault Fault
	// Sent is whether any byte of the request was written to a connection to the target.
	Sent bool
	// Status is the HTTP status of the answer, if there is one.
	Status int
}

// MayHaveStarted reports whether the target may have run the request. That it did not is
// proved only by an explicit refusal, or if no byte of the request was written.
func (a Attempt) MayHaveStarted() bool {
	return a.Sent && a.Fault != FaultRefused
}

// Outcome returns the outcome of the request if the attempt is the last one.
// started is whether an earlier attempt may have run the request.
func (a Attempt) Outcome(started bool) Outcome {
	if a.Fault == FaultNone {
		return OutcomeAnswered
	}
	if started || a.MayHaveStarted() {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// Retryable reports whether the request may be retried at another target. A request
// that is not idempotent is retried only if it is proved that it was not started.
func (a Attempt) Retryable(idempotent bool) bool {
	switch a.Fault {
	case FaultNone, FaultTimeout, FaultCaller:
		return false
	}
	return idempotent || !a.MayHaveStarted()
}
