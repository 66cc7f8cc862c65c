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

// Peers sends messages to other entry hosts and receives theirs.
type Peers struct {
	// Address is the "ip:port" at which other entry hosts reach this one.
	Address string
	// Call sends a message to one member and returns its answer. It returns peer.ErrNotConnected or peer.ErrRefused
	// if the member did not process the message.
	Call func(ctx context.Context, member string, message *peerpb.Envelope) (*peerpb.Envelope, error)
	// Handle registers the handler of one kind of message.
	Handle func(kind peer.Kind, handler peer.Handler)
	// SetPeers replaces the members to connect to. The map holds their addresses by member name.
	SetPeers func(members map[string]string)
}

const (
	// livenessCheckDelay is how long a HandIn call may take before its receiver is checked for liveness. It is ten
	// times the usual duration. livenessCheckTimeout is how long the receiver may take to answer the check. It allows
	// for a slow processor.
	livenessCheckDelay   = 250 * time.Millisecond
	livenessCheckTimeout = 250 * time.Millisecond
	// forwardingPause is how long no jobs are forwarded to a member that left a HandIn unanswered. A member that no
	// longer exists is detected within about that time.
	forwardingPause = memberLease
)

// heldEpochs returns the epochs of the pool duties that this member is ready to carry out, by pool.
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

// acceptsJobs reports whether the pool has been read and the duty has not ended.
func (h *poolHolder) acceptsJobs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loaded && h.ctx.Err() == nil
}

// connectToHolders connects to the members that hold duties according to their own rows or to those of the duties, and to no
// others.
func (m *Manager) connectToHolders() {
	m.mu.Lock()
	addresses := make(map[string]string)
	named := make(map[string]bool, len(m.holderRows))
	for _, row := range m.holderRows {
		named[row.Holder] = true
	}
	for name, s := range m.members {
		if name != m.MemberName && s.Member.Address != "" && (len(s.Member.RowVersions) > 0 || named[name]) {
			addresses[name] = s.Member.Address
		}
	}
	m.mu.Unlock()
	m.setLinkedPeers(addresses)
}

// connectTo connects to further members, until connectToHolders is called.
func (m *Manager) connectTo(members []string) {
	m.mu.Lock()
	addresses := maps.Clone(m.linkedPeers)
	if addresses == nil {
		addresses = make(map[string]string, len(members))
	}
	for _, name := range members {
		if address := m.members[name].Member.Address; address != "" {
			addresses[name] = address
		}
	}
	m.mu.Unlock()
	m.setLinkedPeers(addresses)
}

// setLinkedPeers replaces the members that Peers connects to.
func (m *Manager) setLinkedPeers(addresses map[string]string) {
	if m.Peers.SetPeers == nil {
		return
	}
	m.mu.Lock()
	changed := !maps.Equal(addresses, m.linkedPeers)
	m.linkedPeers = addresses
	m.mu.Unlock()
	if changed {
		m.Peers.SetPeers(addresses)
	}
}

// forwardingTarget returns the member to forward a pool's jobs to: the one that claims the pool's duty with the
// highest epoch. It returns false if there is none, if it is this member, or if it has not answered lately.
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

// canForward reports whether a pool's jobs can be forwarded.
func (m *Manager) canForward(pool string) bool {
	_, ok := m.forwardingTarget(pool, time.Now())
	return ok
}

// forwardJobs forwards a group of submissions to the holder of the pool's duty, which stores the jobs of many entry
// hosts in one transaction. It returns the submissions that this member must store itself: all of them if there is no
// holder to forward to, otherwise those that the holder did not confirm as stored. Storing a job again is harmless
// and shows whether it was already stored.
func (m *Manager) forwardJobs(pool string, group []*submission) []*submission {
	member, ok := m.forwardingTarget(pool, time.Now())
	if !ok || anyForwarded(group) {
		return group
	}
	start := time.Now()
	reply, err := m.callWhileAlive(m.ctx, member, &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_HandIn{HandIn: m.newHandIn(pool, group)}})
	m.recordForwardingMetrics(time.Since(start), err)
	results := reply.GetHandInOutcome().GetResults()
	m.noteVersion(reply.GetHandInOutcome().GetCatalogueVersion())
	if err == nil && len(results) != len(group) {
		err = platform.ErrInvalid{Service: "entry host " + member, Reason: "the number of results differs from the number of jobs"}
	}
	if err != nil {
		m.handleForwardingFailure(pool, member, group, err)
		return group
	}
	m.noteHandIn(pool, time.Since(start), time.Now())
	remaining := group[:0]
	for i, s := range group {
		switch {
		case results[i] == peerpb.HandInOutcome_STORED:
			s.finish(nil)
			continue
		case results[i] == peerpb.HandInOutcome_KEY_REFUSED && !s.maybeStored:
			s.finish(ErrKeyRefused{Reason: KeyWithdrawn, Organisation: s.caller.Organisation, Version: reply.GetHandInOutcome().GetCatalogueVersion()})
			continue
		case results[i] == peerpb.HandInOutcome_KEY_REFUSED:
			s.finish(ErrOutcomeUnknown{"the key was withdrawn after an earlier attempt"})
			continue
		}
		if refusal, ok := forwardedRefusal(reply.GetHandInOutcome(), i); ok && !s.maybeStored {
			s.finish(refusal)
			continue
		}
		s.maybeStored = s.maybeStored || results[i] != peerpb.HandInOutcome_NOT_STORED
		remaining = append(remaining, s)
	}
	if time.Since(start) > slowAnswer && m.canForward(pool) {
		// The holder waits for the store. Transactions of this entry host would only add to what it waits for.
		group[0].batcher.requeue(failExpired(remaining, ErrOutcomeUnknown{"the holder of the pool's duty got no answer of the store in time"}))
		return nil
	}
	return remaining
}

// callWhileAlive calls a member with the timeout of a store call, as long as the member passes liveness checks. A
// member that waits for the store must be waited for, or all other members would repeat its work; a member that hangs
// must not be.
func (m *Manager) callWhileAlive(ctx context.Context, member string, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, maxStoreTimeout+livenessCheckTimeout)
	defer cancel()
	var watcher sync.WaitGroup
	defer watcher.Wait()
	ended := make(chan struct{})
	defer close(ended)
	watcher.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(livenessCheckDelay):
			}
			checkCtx, done := context.WithTimeout(ctx, livenessCheckTimeout)
			_, err := m.Peers.Call(checkCtx, member, &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_Acknowledgement{}})
			done()
			if err != nil {
				cancel()
				return
			}
		}
	})
	return m.Peers.Call(ctx, member, message)
}

// anyForwarded reports whether a submission of the group was itself forwarded by another member.
func anyForwarded(group []*submission) bool {
	for _, s := range group {
		if s.forwarded {
			return true
		}
	}
	return false
}

// newHandIn returns the message that forwards a group of submissions.
func (m *Manager) newHandIn(pool string, group []*submission) *peerpb.HandIn {
	message := &peerpb.HandIn{Pool: pool, CatalogueVersion: m.Catalogue().Version}
	for _, s := range group {
		message.Jobs = append(message.Jobs, s.caller.handedJob(s))
	}
	return message
}

// recordForwardingMetrics counts HandIn calls by outcome and records their duration.
func (m *Manager) recordForwardingMetrics(duration time.Duration, err error) {
	outcome := "answered"
	var notConnected peer.ErrNotConnected
	var refused peer.ErrRefused
	switch {
	case errors.As(err, &notConnected):
		outcome = "not-connected"
	case errors.As(err, &refused):
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	}
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("hand_ins").Inc(1)
	m.scope.Histogram("hand_in_time", latencyBuckets).RecordDuration(duration)
}

// handleForwardingFailure handles a HandIn call that failed. The jobs may have been stored unless there was no link
// or the member refused the call.
func (m *Manager) handleForwardingFailure(pool, member string, group []*submission, err error) {
	var notConnected peer.ErrNotConnected
	var refused peer.ErrRefused
	if errors.As(err, &notConnected) || errors.As(err, &refused) {
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

// handleHandIn stores the jobs that another entry host forwarded, together with those of other entry hosts. It
// refuses them while this member does not hold the pool's duty or the pool's partition of the store is unavailable,
// and the sender then stores them itself.
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
	m.noteVersion(message.GetHandIn().GetCatalogueVersion())
	group, err := m.decodeHandIn(ctx, pool, message.GetHandIn())
	if err != nil {
		m.record(event.Event{Number: event.HandInFailed, Pool: pool, Host: from, Detail: err.Error()})
		return errorReply(err.Error())
	}
	m.reportEarlierVersion(pool, from, message.GetHandIn())
	for _, s := range group {
		if err := m.recheckKey(s.caller); err != nil {
			s.done <- err
			continue
		}
		m.enqueue(pool, s)
	}
	outcome := &peerpb.HandInOutcome{CatalogueVersion: m.Catalogue().Version}
	for i, s := range group {
		result, err := s.awaitResult(ctx)
		outcome.Results = append(outcome.Results, result)
		addRefusal(outcome, i, err)
	}
	return &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_HandInOutcome{HandInOutcome: outcome}}
}

// maxForwardedJobs bounds the number of jobs in a HandIn message. A sender forwards no more jobs than fit into one
// transaction.
const maxForwardedJobs = maxJobsPerCommit

// decodeHandIn decodes and validates a HandIn message. Its errors name the invalid field.
func (m *Manager) decodeHandIn(ctx context.Context, pool string, message *peerpb.HandIn) ([]*submission, error) {
	if n := len(message.GetJobs()); n == 0 || n > maxForwardedJobs {
		return nil, errInvalidHandIn{Field: "jobs", Reason: "between 1 and 30 jobs are expected"}
	}
	group := make([]*submission, 0, len(message.GetJobs()))
	for _, forwarded := range message.GetJobs() {
		id := work.JobID(forwarded.GetId())
		if forwarded.GetId() < firstJobKey {
			return nil, errInvalidHandIn{Field: "jobs.id", Reason: "is not a valid job ID"}
		}
		job, err := decodeJob(platform.VersionedRow{RowKey: specKey(pool, id), Value: forwarded.GetRow()})
		if err == nil {
			err = errors.Join(job.Validate(), checkRowSize(id, forwarded.GetRow()))
		}
		if err != nil {
			return nil, errInvalidHandIn{Field: "jobs.row", Reason: err.Error()}
		}
		caller, err := forwardedCaller(job, forwarded)
		if err != nil {
			return nil, err
		}
		group = append(group, &submission{
			job: job, caller: caller, encodedSpec: forwarded.GetRow(), configuration: forwarded.GetConfiguration(), forwarded: true, receivedAt: time.Now(),
			waitsUntil: time.Now().Add(forwardedWait(forwarded)), ctx: ctx, done: make(chan error, 1),
		})
	}
	return group, nil
}

// forwardedWait returns how long the caller of a forwarded job still waits.
func forwardedWait(job *peerpb.HandedJob) time.Duration {
	if job.GetWaitMillis() == 0 {
		return maxStoreTimeout
	}
	return min(time.Duration(job.GetWaitMillis())*time.Millisecond, maxStoreTimeout)
}

// errInvalidHandIn is returned for a HandIn message with an invalid field.
type errInvalidHandIn struct {
	Field  string
	Reason string
}

// Error implements error.
func (e errInvalidHandIn) Error() string { return "hand-in: " + e.Field + ": " + e.Reason }

// awaitResult waits for the outcome of a forwarded submission. It returns the error of a submission that was refused.
func (s *submission) awaitResult(ctx context.Context) (peerpb.HandInOutcome_Result, error) {
	var refused ErrNotAccepted
	var keyRefused ErrKeyRefused
	select {
	case err := <-s.done:
		switch {
		case err == nil:
			return peerpb.HandInOutcome_STORED, nil
		case errors.As(err, &keyRefused):
			return peerpb.HandInOutcome_KEY_REFUSED, nil
		case errors.As(err, &refused):
			return peerpb.HandInOutcome_NOT_STORED, err
		}
	case <-ctx.Done():
	}
	return peerpb.HandInOutcome_UNSURE, nil
}

// errorReply returns the answer to a message that was not processed.
func errorReply(reason string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Acknowledgement{Acknowledgement: &peerpb.Acknowledgement{Error: reason}}}
}
