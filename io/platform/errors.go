package platform

import "fmt"

// ErrConflict is returned when a precondition did not hold. Nothing was written.
type ErrConflict struct {
	Key      string
	Expected uint64
	Actual   uint64
}

// Error implements error.
func (e ErrConflict) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.Key, e.Actual, e.Expected)
}

// ErrUnavailable is returned when the service did not accept the call. Nothing took effect.
type ErrUnavailable struct {
	Service string
	Reason  string
	// Overloaded tells that the service had too much to do at that moment.
	Overloaded bool
}

// Error implements error.
func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("the platform's %s is unavailable: %s", e.Service, e.Reason)
}

// ErrOutcomeUnknown is returned when a call was sent and its answer was lost. The call may have taken effect.
type ErrOutcomeUnknown struct {
	Service string
	Reason  string
}

// Error implements error.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("the outcome of a call to the platform's %s is unknown: %s", e.Service, e.Reason)
}

// ErrNotFound is returned when an object, host or task does not exist.
type ErrNotFound struct {
	Kind string
	Name string
}

// Error implements error.
func (e ErrNotFound) Error() string {
	return fmt.Sprintf("there is no %s %q", e.Kind, e.Name)
}

// ErrRefused is returned when a worker refused a command before it had any effect.
type ErrRefused struct {
	Host   string
	Reason string
}

// Error implements error.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("host %s refused: %s", e.Host, e.Reason)
}

// ErrStaleEpoch is returned when a worker has seen a higher epoch of the pool's duty.
type ErrStaleEpoch struct {
	Host    string
	Epoch   uint64
	Highest uint64
}

// Error implements error.
func (e ErrStaleEpoch) Error() string {
	return fmt.Sprintf("host %s has seen epoch %d, the command carries %d", e.Host, e.Highest, e.Epoch)
}

// ErrInvalid is returned when the service could not understand a call. Nothing took effect.
type ErrInvalid struct {
	Service string
	Reason  string
}

// Error implements error.
func (e ErrInvalid) Error() string {
	return fmt.Sprintf("the platform's %s rejected a malformed call: %s", e.Service, e.Reason)
}
