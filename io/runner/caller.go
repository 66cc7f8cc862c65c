package runner

import (
	"encoding/json"
	"time"

	"siskincross/core/event"
	"siskincross/core/organisation"
	"siskincross/core/work"
	"siskincross/io/peer/peerpb"
	"siskincross/io/platform"
)

// Caller is what is known of the sender of a request. The zero value is a caller without a key.
type Caller struct {
	// Organisation names the organisation whose key the request carried; empty if it carried none.
	Organisation string
	// Key is the digest of that key.
	Key organisation.KeyDigest
	// Version is the version of the configuration by which the key was accepted.
	Version uint64
}

// jobOrganisation returns the organisation of the jobs that the caller submits to a queue. A public queue has none.
func (c Caller) jobOrganisation(q work.Queue) string {
	if q.Public {
		return ""
	}
	return c.Organisation
}

// mayUse reports whether the caller may see and cancel the jobs of an organisation. Anybody may those without one.
func (c Caller) mayUse(owner string) bool { return owner == "" || owner == c.Organisation }

// barredRetryAfter is the Retry-After value of a job that was cancelled before it was stored. No retry will be accepted.
const barredRetryAfter = time.Hour

// checkStored returns nil if a job that is stored under the ID of a submission may be the submitted one. Another
// organisation's job is left as it is, and the refusal is that of a passing failure, which doesn't tell that there is one.
func (c Caller) checkStored(id work.JobID, row platform.VersionedRow) error {
	switch {
	case c.mayUse(ownerOf(row)) && isBarred(row):
		return ErrNotAccepted{Reason: "the job was cancelled before it was stored", RetryAfter: barredRetryAfter}
	case c.mayUse(ownerOf(row)):
		return nil
	}
	return ErrNotAccepted{Reason: "the ID " + string(id) + " belongs to a job of another organisation", RetryAfter: storeRetryAfter}
}

// ownerOf returns the organisation of a row of a job's state; empty if it has none. A row that can't be read has none: its
// state can't be read either.
func ownerOf(row platform.VersionedRow) string {
	var state stateRow
	if json.Unmarshal(row.Value, &state) != nil {
		return ""
	}
	return state.Organisation
}

// handedJob returns the message that forwards a submission of the caller.
func (c Caller) handedJob(s *submission) *peerpb.HandedJob {
	wait := max(time.Millisecond, time.Until(s.waitsUntil))
	message := &peerpb.HandedJob{Id: string(s.job.ID), Row: s.encodedSpec, Configuration: s.configuration, WaitMillis: uint32(wait.Milliseconds())}
	if s.job.Organisation != "" {
		message.KeyDigest, message.KeyVersion = c.Key[:], c.Version
	}
	return message
}

// forwardedCaller returns the caller of a forwarded job. Without a digest, which versions before organisations don't send,
// only the organisation is known.
func forwardedCaller(job work.Job, message *peerpb.HandedJob) (Caller, error) {
	c := Caller{Organisation: job.Organisation, Version: message.GetKeyVersion()}
	switch len(message.GetKeyDigest()) {
	case 0:
	case len(c.Key):
		copy(c.Key[:], message.GetKeyDigest())
	default:
		return Caller{}, errInvalidHandIn{Field: "jobs.key-digest", Reason: "has a wrong length"}
	}
	return c, nil
}

// maxReportedMembers bounds the members that are remembered as reported.
const maxReportedMembers = 1024

// reportEarlierVersion records, once for each member, that an entry host of a version without organisations forwards jobs
// while a configuration contains some. Such an entry host asks its callers for no key, and nothing here can tell whose
// its jobs are.
func (m *Manager) reportEarlierVersion(pool, from string, message *peerpb.HandIn) {
	if message.GetCatalogueVersion() != 0 || !m.Catalogue().Organisations.RequiresKeys() {
		return
	}
	m.mu.Lock()
	reported := m.reportedMembers[from] || len(m.reportedMembers) >= maxReportedMembers
	if !reported {
		m.reportedMembers[from] = true
	}
	m.mu.Unlock()
	if !reported {
		m.record(event.Event{Number: event.HandInFailed, Pool: pool, Host: from, Detail: "its jobs are stored without an organisation: the entry host runs a version that knows none"})
	}
}
