package platform

import "fmt"

// ErrConflict is returned when a precondition of a transaction did not hold. Nothing was written.
type ErrConflict struct {
	Key      string
	Expected uint64
	Actual   uint64
}

// Error implements error.
func (e ErrConflict) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.Key, e.Actual, e.Expected)
}

// ErrUnavailable is returned when a service did not accept a call. The call had no effect.
type ErrUnavailable struct {
	Service string
	Reason  string
	// Overloaded is set if the service refused the call because of its load.
	Overloaded bool
}

// Error implements error.
func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("the platform's %s is unavailable: %s", e.Service, e.Reason)
}

// ErrNotSent is returned when a call did not reach its server. The call had no effect.
type ErrNotSent struct{ Reason string }

// Error implements error.
func (e ErrNotSent) Error() string { return "not sent: " + e.Reason }

// ErrOutcomeUnknown is returned when a call was sent and its response was lost. The call may have had an effect.
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
	return fmt.Sprintf("%s %q not found", e.Kind, e.Name)
}

// ErrRefused is returned when a worker refused a command. The command had no effect.
type ErrRefused struct {
	Host   string
	Reason string
}

// Error implements error.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("host %s refused the command: %s", e.Host, e.Reason)
}

// ErrStaleEpoch is returned when a worker fenced a command off: it has seen a higher epoch of the pool's duty.
type ErrStaleEpoch struct {
	Host  string
	Epoch uint64
	// Highest is the epoch that the worker has seen; zero if it does not tell.
	Highest uint64
}

// Error implements error.
func (e ErrStaleEpoch) Error() string {
	if e.Highest == 0 {
		return fmt.Sprintf("host %s has seen a higher epoch than %d, that of the command", e.Host, e.Epoch)
	}
	return fmt.Sprintf("host %s has seen epoch %d; the epoch of the command is %d", e.Host, e.Highest, e.Epoch)
}

// ErrInvalid is returned when a service rejected a call as malformed. The call had no effect.
type ErrInvalid struct {
	Service string
	Reason  string
}

// Error implements error.
func (e ErrInvalid) Error() string {
	return fmt.Sprintf("the platform's %s rejected a malformed call: %s", e.Service, e.Reason)
}
