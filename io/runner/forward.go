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
	// presenceAfter is how long a hand-in may take before its receiver is asked whether it is there: ten times the usual time.
	// presenceTime is how long it has to answer that, on a slow processor too.
	presenceAfter = 250 * time.Millisecond
	presenceTime  = 250 * time.Millisecond
	// handInPause is how long a member that left a hand-in without an answer gets none: about the time in which a member that is gone
	// is known to be.
	handInPause = memberLease
)

// heldEpochs returns the epochs of the pools' duties that this member is ready to do, by pool.
func (m *Manager) heldEpochs() map[string]uint64 {
	m.mu.Lock()
	holders := maps.Clone(m.holders)
	m.mu.Unlock()
	epochs := make(map[string]uint64, len(holders))
	for name, h := range holders {
		if h.takesJobs() {
			epochs[name] = h.epoch
		}
	}
	return epochs
}

// takesJobs reports whether the pool was read and the duty has not ended.
func (h *holder) takesJobs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready && h.ctx.Err() == nil
}

// linkHolders connects to the members that say that they hold duties.
func (m *Manager) linkHolders() {
	if m.Peers.SetPeers == nil {
		return
	}
	m.mu.Lock()
	wanted := make(map[string]string)
	for name, s := range m.members {
		if name != m.Member && s.Member.Address != "" && len(s.Member.Rows) > 0 {
			wanted[name] = s.Member.Address
		}
	}
	changed := !maps.Equal(wanted, m.peersLinked)
	m.peersLinked = wanted
	m.mu.Unlock()
	if changed {
		m.Peers.SetPeers(wanted)
	}
}

// acceptor returns the member that jobs for a pool are handed to: the newest of those that say that they hold its duty, unless that is us
// or has not answered lately.
func (m *Manager) acceptor(pool string, now time.Time) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Peers.Call == nil || m.holders[pool] != nil {
		return "", false
	}
	member, newest := "", uint64(0)
	for name, s := range m.members {
		if epoch := s.Member.Rows[pool]; epoch > newest && s.Member.Address != "" {
			member, newest = name, epoch
		}
	}
	return member, member != "" && member != m.Member && !now.Before(m.handInAfter[member])
}

// handIn hands a group to the holder of the pool's duty, which stores the jobs of many entry hosts in one transaction. It returns the
// submissions that are left to be stored here: all if there is no such holder, and those of which the holder did not say that they are
// stored. Storing a job again does no harm, and tells whether it was.
func (m *Manager) handIn(pool string, group []*submission) []*submission {
	member, ok := m.acceptor(pool, time.Now())
	if !ok || anyHanded(group) {
		return group
	}
	began := time.Now()
	reply, err := m.callWhilePresent(member, &peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_HandIn{HandIn: handInOf(pool, group)}})
	m.observeHandIn(time.Since(began), err)
	results := reply.GetHandInOutcome().GetResults()
	if err == nil && len(results) != len(group) {
		err = platform.ErrInvalid{Service: "entry host " + member, Reason: "the outcome does not have each job"}
	}
	if err != nil {
		m.handInFailed(pool, member, group, err)
		return group
	}
	left := group[:0]
	for i, s := range group {
		if results[i] == peerpb.HandInOutcome_STORED {
			s.done <- nil
			continue
		}
		s.maybe = s.maybe || results[i] != peerpb.HandInOutcome_NOT_STORED
		left = append(left, s)
	}
	return left
}

// callWhilePresent calls a member for as long as the store may take for it, if the member tells in between that it is there: one that waits
// for the store must not have its work done a second time by all the others, one that stands still must not be waited for.
func (m *Manager) callWhilePresent(member string, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	ctx, cancel := context.WithTimeout(m.ctx, mostStorePatience+presenceTime)
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
			case <-time.After(presenceAfter):
			}
			asked, done := context.WithTimeout(ctx, presenceTime)
			_, err := m.Peers.Call(asked, member, &peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_Acknowledgement{}})
			done()
			if err != nil {
				cancel()
				return
			}
		}
	})
	return m.Peers.Call(ctx, member, message)
}

func anyHanded(group []*submission) bool {
	for _, s := range group {
		if s.handed {
			return true
		}
	}
	return false
}

func handInOf(pool string, group []*submission) *peerpb.HandIn {
	message := &peerpb.HandIn{Pool: pool}
	for _, s := range group {
		message.Jobs = append(message.Jobs, &peerpb.HandedJob{Id: string(s.job.ID), Row: s.row})
	}
	return message
}

// observeHandIn counts hand-ins by their outcome and times them.
func (m *Manager) observeHandIn(took time.Duration, err error) {
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

// handInFailed notes a hand-in of which no outcome is known. Nothing was stored if there was no link or the member refused.
func (m *Manager) handInFailed(pool, member string, group []*submission, err error) {
	var absent peer.ErrNotConnected
	var refused peer.ErrRefused
	if errors.As(err, &absent) || errors.As(err, &refused) {
		return
	}
	for _, s := range group {
		s.maybe = true
	}
	m.mu.Lock()
	m.handInAfter[member] = time.Now().Add(handInPause)
	m.mu.Unlock()
	if m.ctx.Err() == nil {
		m.record(event.Event{Number: event.HandInFailed, Pool: pool, Host: member, Detail: err.Error()})
	}
}

// takeHandIn stores the jobs that another entry host hands in, with those of others. It refuses while this one does not hold the pool's
// duty, or its part of the store is away: the other one then stores them itself.
func (m *Manager) takeHandIn(ctx context.Context, from string, message *peerpb.Envelope) *peerpb.Envelope {
	pool := message.GetHandIn().GetPool()
	h := m.holder(pool)
	switch {
	case h == nil || !h.takesJobs():
		return refusal("the duty of pool " + pool + " is not held here")
	case m.health.away(pool):
		return refusal(errStoreAway().Error())
	}
	ctx, cancel := context.WithTimeout(ctx, mostStorePatience)
	defer cancel()
	group, err := m.handedIn(ctx, pool, message.GetHandIn())
	if err != nil {
		m.record(event.Event{Number: event.HandInFailed, Pool: pool, Host: from, Detail: err.Error()})
		return refusal(err.Error())
	}
	for _, s := range group {
		m.enqueue(pool, s)
	}
	outcome := &peerpb.HandInOutcome{}
	for _, s := range group {
		outcome.Results = append(outcome.Results, s.result(ctx))
	}
	return &peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_HandInOutcome{HandInOutcome: outcome}}
}

// mostHanded bounds the jobs of one hand-in: a sender takes no more than fit into one transaction.
const mostHanded = jobsPerCommit

// handedIn reads a hand-in. It returns an error that names the field if a part of it can't be used.
func (m *Manager) handedIn(ctx context.Context, pool string, message *peerpb.HandIn) ([]*submission, error) {
	if n := len(message.GetJobs()); n == 0 || n > mostHanded {
		return nil, errHandIn{Field: "jobs", Reason: "one to thirty are expected"}
	}
	group := make([]*submission, 0, len(message.GetJobs()))
	for _, handed := range message.GetJobs() {
		id := work.ID(handed.GetId())
		if handed.GetId() < firstJobKey {
			return nil, errHandIn{Field: "jobs.id", Reason: "is no ID of a job"}
		}
		job, err := decodeSpec(platform.PartRow{RowKey: specKey(pool, id), Value: handed.GetRow()})
		if err == nil {
			err = errors.Join(job.Check(), checkRow(id, handed.GetRow()))
		}
		if err != nil {
			return nil, errHandIn{Field: "jobs.row", Reason: err.Error()}
		}
		group = append(group, &submission{job: job, row: handed.GetRow(), handed: true, came: time.Now(), ctx: ctx, done: make(chan error, 1)})
	}
	return group, nil
}

// errHandIn tells what is wrong with a field of a hand-in.
type errHandIn struct {
	Field  string
	Reason string
}

// Error implements error.
func (e errHandIn) Error() string { return "hand-in: " + e.Field + ": " + e.Reason }

// result waits for the end of a submission that was handed in.
func (s *submission) result(ctx context.Context) peerpb.HandInOutcome_Result {
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

// refusal is the answer to a message that nothing was done about.
func refusal(reason string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Acknowledgement{Acknowledgement: &peerpb.Acknowledgement{Error: reason}}}
}
