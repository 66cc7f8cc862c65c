package runner

import (
	"fmt"
	"time"

	"siskincross/core/event"
	"siskincross/core/organisation"
	"siskincross/core/work"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=KeyRefusal -transform=kebab -text -trimprefix=Key -output=caller_enumer.go

// KeyRefusal is why a request is refused because of its key. It is a label of metrics.
type KeyRefusal int

// Reasons of refusals.
const (
	// KeyMissing is a request without a key, or with something else than one key.
	KeyMissing KeyRefusal = iota
	// KeyUnknown is a key that no version known to this process contains.
	KeyUnknown
	// KeyWithdrawn is a key that an earlier version contained.
	KeyWithdrawn
	// KeyUndecided is a key that can't be judged, because this process may lack the configuration that is in force.
	KeyUndecided
)

// ErrKeyRefused is returned for a request that is refused because of its key.
type ErrKeyRefused struct {
	Reason KeyRefusal
	// Organisation is the one whose key it was, if that is known.
	Organisation string
	// Version is the version of the configuration that refuses the key. For KeyWithdrawn it is the first one without the key.
	Version uint64
	// RetryAfter is the delay after which the caller may retry; only for KeyUndecided.
	RetryAfter time.Duration
}

// Error implements error.
func (e ErrKeyRefused) Error() string {
	switch e.Reason {
	case KeyMissing:
		return "no key in the request"
	case KeyWithdrawn:
		return fmt.Sprintf("its key, one of %s, was withdrawn in version %d", e.Organisation, e.Version)
	case KeyUndecided:
		return fmt.Sprintf("the configuration, version %d, may be outdated", e.Version)
	default:
		return fmt.Sprintf("its key is not in version %d", e.Version)
	}
}

// Authenticate returns the caller of a request for a queue of the catalogue. key is the digest of the request's key, and hasKey
// false if there is none. It returns ErrKeyRefused if the request must not be processed.
func (m *Manager) Authenticate(c work.Catalogue, q work.Queue, key organisation.KeyDigest, hasKey bool) (Caller, error) {
	if !c.Organisations.RequiresKeys() {
		return Caller{}, nil
	}
	owner, known := organisation.Organisation{}, false
	if hasKey {
		owner, known = c.Organisations.FindByKey(key)
	}
	switch accepted := known || q.Public; {
	case accepted && !m.mayAccept(), !accepted && !m.MayRefuse():
		return Caller{}, ErrKeyRefused{Reason: KeyUndecided, Organisation: owner.Name, Version: c.Version, RetryAfter: configurationRetryAfter}
	case known:
		return Caller{Organisation: owner.Name, Key: key, Version: c.Version}, nil
	case accepted:
		return Caller{}, nil
	case !hasKey:
		return Caller{}, ErrKeyRefused{Reason: KeyMissing, Version: c.Version}
	}
	return Caller{}, m.refusalOf(key, c.Version)
}

// configurationRetryAfter is the Retry-After value while the configuration may be outdated.
const configurationRetryAfter = time.Second

// refusalOf returns the refusal of a key that a version doesn't contain.
func (m *Manager) refusalOf(key organisation.KeyDigest, version uint64) ErrKeyRefused {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w, ok := m.withdrawnKeys[key]; ok {
		return ErrKeyRefused{Reason: KeyWithdrawn, Organisation: w.organisation, Version: w.version}
	}
	return ErrKeyRefused{Reason: KeyUnknown, Version: version}
}

// recheckKey returns ErrKeyRefused if a newer configuration than the one that accepted a forwarded caller's key no longer
// contains it.
func (m *Manager) recheckKey(c Caller) error {
	current := m.Catalogue()
	if c.Key == (organisation.KeyDigest{}) || c.Version >= current.Version || !current.Organisations.RequiresKeys() {
		return nil
	}
	if owner, ok := current.Organisations.FindByKey(c.Key); ok && owner.Name == c.Organisation {
		return nil
	}
	return m.refusalOf(c.Key, current.Version)
}

// withdrawal tells which version withdrew a key.
type withdrawal struct {
	organisation string
	version      uint64
}

// maxWithdrawnKeys bounds the withdrawn keys that are remembered. They only explain refusals.
const maxWithdrawnKeys = 4096

// recordWithdrawnKeys remembers the keys that a version withdraws. The caller holds the lock.
func (m *Manager) recordWithdrawnKeys(keys map[organisation.KeyDigest]string, next work.Catalogue) {
	for key := range m.withdrawnKeys {
		if _, back := next.Organisations.FindByKey(key); back {
			delete(m.withdrawnKeys, key)
		}
	}
	for key, name := range keys {
		if len(m.withdrawnKeys) >= maxWithdrawnKeys {
			return
		}
		m.withdrawnKeys[key] = withdrawal{organisation: name, version: next.Version}
	}
}

// Reasons of refusals other than keys; labels of metrics.
const (
	refusedNoQueue = "no-queue"
	refusedInvalid = "invalid"
)

// RecordRefusal counts and logs a request that was refused because of its key.
func (m *Manager) RecordRefusal(q work.Queue, id string, e ErrKeyRefused) {
	m.recordRefusal(e.Reason.String(), event.Event{
		Number: event.KeyRefused, Organisation: e.Organisation, Pool: q.Pool, Job: id,
		Detail: fmt.Sprintf("queue %s: %s: %s", q.Name, e.Reason, e.Error()),
	})
}

// RecordInvalid counts and logs a caller's job that was refused as invalid. Without organisations it does nothing.
func (m *Manager) RecordInvalid(c Caller, q work.Queue, id work.JobID, cause error) {
	if m.Catalogue().Organisations.RequiresKeys() {
		m.recordRefusal(refusedInvalid, event.Event{
			Number: event.RequestRefused, Organisation: c.Organisation, Pool: q.Pool, Job: string(id), Detail: fmt.Sprintf("queue %s: %v", q.Name, cause),
		})
	}
}

// maxShownPath bounds the part of a request's path that a log line contains.
const maxShownPath = 100

// RecordUnknownQueue counts and logs a request that no queue matches. Without organisations it does nothing.
func (m *Manager) RecordUnknownQueue(host, path string) {
	if c := m.Catalogue(); c.Organisations.RequiresKeys() {
		m.recordRefusal(refusedNoQueue, event.Event{
			Number: event.RequestRefused, Detail: fmt.Sprintf("no queue of version %d matches %.*q %.*q", c.Version, maxShownPath, host, maxShownPath, path),
		})
	}
}

func (m *Manager) recordRefusal(reason string, e event.Event) {
	m.init()
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
	m.record(e)
}
