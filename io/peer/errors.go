package peer

import "fmt"

// ErrNotConnected is returned by a call to a member that is not connected. Nothing was sent.
type ErrNotConnected struct {
	Member string
}

// Error implements error.
func (e ErrNotConnected) Error() string {
	return fmt.Sprintf("entry host %q is not connected", e.Member)
}

// ErrRefused is returned when a peer refuses a message or a connection.
type ErrRefused struct {
	Member string
	Reason string
}

// Error implements error.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("entry host %q refused: %s", e.Member, e.Reason)
}

// ErrInvalidAddress is returned for an address that does not have the form "ip:port".
type ErrInvalidAddress struct {
	Address string
}

// Error implements error.
func (e ErrInvalidAddress) Error() string {
	return fmt.Sprintf("peer address %q does not have the form ip:port", e.Address)
}

// ErrPlaintextForbidden is returned for an address outside the loopback network when the link has no TLS keys.
type ErrPlaintextForbidden struct {
	Address string
}

// Error implements error.
func (e ErrPlaintextForbidden) Error() string {
	return fmt.Sprintf("peer address %q is outside the loopback network: TLS keys are required", e.Address)
}
