package runner

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/core/work"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
	"siskincross/io/platform"
)

// Peers reaches other entry hosts.
type Peers struct {
	// Address is the "ip:port" at which other entry hosts reach this one.
	Address string
	// Call sends a message to one member and returns its answer. It returns peer.ErrNotConnected or peer.ErrRefused if the member did nothing.
	Call func(ctx context.Context, member string, message *peerpb.Envelope) (*peerpb.Envelope, error)
	// Handle registers the receiver of one kind of message.
	Handle func(kind peer.Kind, handler peer.Handler)
	// SetPeers replaces the members to be connected to, with their addresses.
	SetPeers func(members map[string]string)
}

const (
	// livenessCheckDelay is how long a hand-in may take before its receiver is asked whether it is there: ten times the usual time.
	// livenessCheckTimeout is how long it has to answer that, on a slow processor too.
	livenessCheckDelay   = 250 * time.Millisecond
	livenessCheckTimeout = 250 * time.Millisecond
	// forwardingPause is how long a member that left a hand-in without an answer gets none: about the time in which a member that is gone
	// is known to be.
	forwardingPause = memberLease
)

// heldEpochs returns the epochs of the pools' duties that this member is ready to do, by pool.
func (m *Manager) heldEpochs() map[string]uint64 {
	m.mu.Lock()
	holders := maps.Clone(m.holders)
	m.mu.Unlock()
	epochs := make(map[string]uint64, len(holders))
	for name, h := range holders {
		if h.acceptsJobs() {
			epochs[name] = h.epoch
		}
	}
	return epochs
}

// acceptsJobs reports whether the pool was read and the duty has not ended.
func (h *poolHolder) acceptsJobs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loaded && h.ctx.Err() == nil
}

// connectToHolders connects to the members that say that they hold duties.
func (m *Manager) connectToHolders() {
	if m.Peers.SetPeers == nil {
		return
	}
	m.mu.Lock()
	wanted := make(map[string]string)
	for name, s := range m.members {
		if name != m.MemberName && s.Member.Address != "" && len(s.Member.RowVersions) > 0 {
			wanted[name] = s.Member.Address
		}
	}
	changed := !maps.Equal(wanted, m.linkedPeers)
	m.linkedPeers = wanted
	m.mu.Unlock()
	if changed {
		m.Peers.SetPeers(wanted)
	}
}

// forwardingTarget returns the member that jobs for a pool are handed to: the newest of those that say that they hold its duty, unless that is us
// or has not answered lately.
func (m *Manager) forwardingTarget(pool string, now time.Time) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Peers.Call == nil || m.holders[pool] != nil {
		return "", false
	}
	member, newest := "", uint64(0)
	for name, s := range m.members {
		if epoch := s.Member.RowVersions[pool]; epoch > newest && s.Member.Address != "" {
			member, newest = name, epoch
		}
	}
	return member, member != "" && member != m.MemberName && !now.Before(m.handInRetryAt[member])
}

// forwardJobs hands a group to the holder of the pool's duty, which stores the jobs of many entry hosts in one transaction. It returns the
// submissions that are left to be stored here: all if there is no such holder, and those of which the holder did not say that they are
// stored. Storing a job again does no harm, and tells whether it was.
func (m *Manager) forwardJobs(pool string, group []*submission) []*submission {
	member, ok := m.forwardingTarget(pool, time.Now())
	if !ok || anyForwarded(group) {
		return group
	}
	began := time.Now()
	reply, err := m.callWhileAlive(member, &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_HandIn{HandIn: newHandIn(pool, group)}})
	m.recordForwardingMetrics(time.Since(began), err)
	results := reply.GetHandInOutcome().GetResults()
	if err == nil && len(results) != len(group) {
		err = platform.ErrInvalid{Service: "entry host " + member, Reason: "the outcome does not have each job"}
	}
	if err != nil {
		m.handleForwardingFailure(pool, member, group, err)
		return group
	}
	left := group[:0]
	for i, s := range group {
		if results[i] == peerpb.HandInOutcome_STORED {
			s.done <- nil
			continue
		}
		s.maybeStored = s.maybeStored || results[i] != peerpb.HandInOutcome_NOT_STORED
		left = append(left, s)
	}
	return left
}

// callWhileAlive calls a member for as long as the store may take for it, if the member tells in between that it is there: one that waits
// for the store must not have its work done a second time by all the others, one that stands still must not be waited for.
func (m *Manager) callWhileAlive(member string, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	ctx, cancel := context.WithTimeout(m.ctx, maxStoreTimeout+livenessCheckTimeout)
	defer cancel()
	var watch sync.WaitGroup
	defer watch.Wait()
	ended := make(chan struct{})
	defer close(ended)
	watch.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(livenessCheckDelay):
			}
			asked, done := context.WithTimeout(ctx, livenessCheckTimeout)
			_, err := m.Peers.Call(asked, member, &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_Acknowledgement{}})
			done()
			if err != nil {
				cancel()
				return
			}
		}
	})
	return m.Peers.Call(ctx, member, message)
}

func anyForwarded(group []*submission) bool {
	for _, s := range group {
		if s.forwarded {
			return true
		}
	}
	return false
}

func newHandIn(pool string, group []*submission) *peerpb.HandIn {
	message := &peerpb.HandIn{Pool: pool}
	for _, s := range group {
		message.Jobs = append(message.Jobs, &peerpb.HandedJob{Id: string(s.job.ID), Row: s.encodedSpec})
	}
	return message
}

// recordForwardingMetrics counts hand-ins by their outcome and times them.
func (m *Manager) recordForwardingMetrics(took time.Duration, err error) {
	outcome := "answered"
	var absent peer.ErrNotConnected
	var refused peer.ErrRefused
	switch {
	case errors.As(err, &absent):
		outcome = "not-connected"
	case errors.As(err, &refused):
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	}
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("hand_ins").Inc(1)
	m.scope.Histogram("hand_in_time", latencyBuckets).RecordDuration(took)
}

// handleForwardingFailure notes a hand-in of which no outcome is known. Nothing was stored if there was no link or the member refused.
func (m *Manager) handleForwardingFailure(pool, member string, group []*submission, err error) {
	var absent peer.ErrNotConnected
	var refused peer.ErrRefused
	if errors.As(err, &absent) || errors.As(err, &refused) {
		return
	}
	for _, s := range group {
		s.maybeStored = true
	}
	m.mu.Lock()
	m.handInRetryAt[member] = time.Now().Add(forwardingPause)
	m.mu.Unlock()
	if m.ctx.Err() == nil {
		m.record(event.Event{Number: event.HandInFailed, Pool: pool, Host: member, Detail: err.Error()})
	}
}

// handleHandIn stores the jobs that another entry host hands in, with those of others. It refuses while this one does not hold the pool's
// duty, or its part of the store is away: the other one then stores them itself.
func (m *Manager) handleHandIn(ctx context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	pool := message.GetHandIn().GetPool()
	h := m.poolHolder(pool)
	switch {
	case h == nil || !h.acceptsJobs():
		return errorReply("the duty of pool " + pool + " is not held here")
	case m.storeHealth.isUnavailable(pool):
		return errorReply(errStoreUnavailable().Error())
	}
	ctx, cancel := context.WithTimeout(ctx, maxStoreTimeout)
	defer cancel()
	group, err := m.decodeHandIn(ctx, pool, message.GetHandIn())
	if err != nil {
		m.record(event.Event{Number: event.HandInFailed, Pool: pool, Host: from, Detail: err.Error()})
		return errorReply(err.Error())
	}
	for _, s := range group {
		m.enqueue(pool, s)
	}
	outcome := &peerpb.HandInOutcome{}
	for _, s := range group {
		outcome.Results = append(outcome.Results, s.awaitResult(ctx))
	}
	return &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_HandInOutcome{HandInOutcome: outcome}}
}

// maxForwardedJobs bounds the jobs of one hand-in: a sender takes no more than fit into one transaction.
const maxForwardedJobs = maxJobsPerCommit

// decodeHandIn reads a hand-in. It returns an error that names the field if a part of it can't be used.
func (m *Manager) decodeHandIn(ctx context.Context, pool string, message *peerpb.HandIn) ([]*submission, error) {
	if n := len(message.GetJobs()); n == 0 || n > maxForwardedJobs {
		return nil, errInvalidHandIn{Field: "jobs", Reason: "one to thirty are expected"}
	}
	group := make([]*submission, 0, len(message.GetJobs()))
	for _, handed := range message.GetJobs() {
		id := work.JobID(handed.GetId())
		if handed.GetId() < firstJobKey {
			return nil, errInvalidHandIn{Field: "jobs.id", Reason: "is no ID of a job"}
		}
		job, err := decodeJob(platform.VersionedRow{RowKey: specKey(pool, id), Value: handed.GetRow()})
		if err == nil {
			err = errors.Join(job.Validate(), checkRowSize(id, handed.GetRow()))
		}
		if err != nil {
			return nil, errInvalidHandIn{Field: "jobs.row", Reason: err.Error()}
		}
		group = append(group, &submission{job: job, encodedSpec: handed.GetRow(), forwarded: true, receivedAt: time.Now(), ctx: ctx, done: make(chan error, 1)})
	}
	return group, nil
}

// errInvalidHandIn tells what is wrong with a field of a hand-in.
type errInvalidHandIn struct {
	Field  string
	Reason string
}

// Error implements error.
func (e errInvalidHandIn) Error() string { return "hand-in: " + e.Field + ": " + e.Reason }

// awaitResult waits for the end of a submission that was handed in.
func (s *submission) awaitResult(ctx context.Context) peerpb.HandInOutcome_Result {
	var refused ErrNotAccepted
	select {
	case err := <-s.done:
		switch {
		case err == nil:
			return peerpb.HandInOutcome_STORED
		case errors.As(err, &refused):
			return peerpb.HandInOutcome_NOT_STORED
		}
	case <-ctx.Done():
	}
	return peerpb.HandInOutcome_UNSURE
}

// errorReply is the answer to a message that nothing was done about.
func errorReply(reason string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Acknowledgement{Acknowledgement: &peerpb.Acknowledgement{Error: reason}}}
}
