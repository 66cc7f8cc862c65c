// Package organisation holds the operators' settings of the organisations that share the pools: their API keys, their
// weights and the limits of what they may have running.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"

	"siskincross/core/resource"
)

// Organisation is a customer whose callers submit jobs. It is immutable.
type Organisation struct {
	Name string
	// Weight is the organisation's share while the pools are full, and the number of jobs a second that it may submit
	// even then.
	Weight float64
	// Limit is what the organisation may have running in all pools together. Zero means no limit of that resource.
	Limit resource.Amount
	// Keys holds the digests of its API keys. The keys themselves are kept nowhere.
	Keys []KeyDigest
}

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// digestPrefixBytes is the number of bytes of a digest that are shown to people.
const digestPrefixBytes = 4

// String returns the beginning of the digest, which tells the keys of a deployment apart.
func (d KeyDigest) String() string { return "sha256:" + hex.EncodeToString(d[:digestPrefixBytes]) }
