package peer

import "fmt"

// ErrNotConnected is returned by a call to a member without a link. Nothing was sent.
type ErrNotConnected struct {
	Member string
}

// Error implements error.
func (e ErrNotConnected) Error() string {
	return fmt.Sprintf("there is no link to entry host %q", e.Member)
}

// ErrRefused is returned when a peer answered that it does not handle the message or the link.
type ErrRefused struct {
	Member string
	Reason string
}

// Error implements error.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("entry host %q refused: %s", e.Member, e.Reason)
}

// ErrAddress is returned for an address that is not "ip:port".
type ErrAddress struct {
	Address string
}

// Error implements error.
func (e ErrAddress) Error() string {
	return fmt.Sprintf("the peer address %q is not of the form ip:port", e.Address)
}

// ErrPlain is returned for an address outside the loopback network when the link has no TLS keys.
type ErrPlain struct {
	Address string
}

// Error implements error.
func (e ErrPlain) Error() string {
	return fmt.Sprintf("the peer address %q is not on the loopback network: set the link's TLS keys", e.Address)
}
