package runner

import (
	"context"
	"errors"
	"time"

	"siskincross/core/work"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
)

// forwardRequest asks the holder of the pool's duty for the state of a caller's job, or to cancel it. The second return value is
// false if there is no holder to ask, or if it has not processed the request.
func (m *Manager) forwardRequest(ctx context.Context, caller Caller, q work.Queue, id work.JobID, cancel bool) (work.State, bool, error) {
	member, ok := m.forwardingTarget(q.Pool, time.Now())
	if !ok {
		return 0, false, nil
	}
	request := &peerpb.JobRequest{
		Pool: q.Pool, Queue: q.Key(), Public: q.Public, Id: string(id), Cancel: cancel, Organisation: caller.Organisation, KeyVersion: caller.Version,
		CatalogueVersion: m.Catalogue().Version, WaitMillis: uint32(max(time.Millisecond, time.Until(waitsUntil(ctx))).Milliseconds()),
	}
	if caller.Organisation != "" {
		request.KeyDigest = caller.Key[:]
	}
	reply, err := m.callWhileAlive(ctx, member, &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_JobRequest{JobRequest: request}})
	var notConnected peer.ErrNotConnected
	var refused peer.ErrRefused
	switch {
	case errors.As(err, &notConnected), errors.As(err, &refused):
		return 0, false, nil
	case err != nil:
		return 0, true, ErrOutcomeUnknown{"the holder of the pool's duty did not answer: " + err.Error()}
	}
	answer := reply.GetJobReply()
	m.noteVersion(answer.GetCatalogueVersion())
	state, err := repliedState(caller, id, answer)
	return state, true, err
}

// repliedState returns the state in the answer of a pool's holder, or the error that it stands for.
func repliedState(caller Caller, id work.JobID, answer *peerpb.JobReply) (work.State, error) {
	switch answer.GetOutcome() {
	case peerpb.JobReply_DONE:
		if answer.GetState() == "" {
			return 0, nil
		}
		return work.StateString(answer.GetState())
	case peerpb.JobReply_NOT_FOUND:
		return 0, ErrJobNotFound{id}
	case peerpb.JobReply_NOT_DONE:
		return 0, ErrNotAccepted{Reason: errStoreUnavailable().Error(), RetryAfter: storeRetryAfter}
	case peerpb.JobReply_KEY_REFUSED:
		return 0, ErrKeyRefused{Reason: KeyWithdrawn, Organisation: caller.Organisation, Version: answer.GetCatalogueVersion()}
	}
	return 0, ErrOutcomeUnknown{"the holder of the pool's duty got no answer of the store"}
}

// handleJobRequest answers for the state of a job, or cancels it, for a caller at another entry host. It refuses the request
// while this member does not hold the pool's duty or the pool's partition of the store is unavailable.
func (m *Manager) handleJobRequest(ctx context.Context, _ string, message *peerpb.Envelope) *peerpb.Envelope {
	request := message.GetJobRequest()
	switch {
	case m.readyHolder(request.GetPool()) == nil:
		return errorReply("the duty of pool " + request.GetPool() + " is not held here")
	case m.storeHealth.isUnavailable(request.GetPool()):
		return errorReply(errStoreUnavailable().Error())
	}
	caller := Caller{Organisation: request.GetOrganisation(), Version: request.GetKeyVersion()}
	switch {
	case request.GetId() < firstJobKey || len(request.GetId()) > maxIDBytes:
		return errorReply(errInvalidHandIn{Field: "id", Reason: "is not a valid job ID"}.Error())
	case caller.Organisation != "" && len(request.GetKeyDigest()) != len(caller.Key):
		return errorReply(errInvalidHandIn{Field: "key-digest", Reason: "has a wrong length"}.Error())
	}
	copy(caller.Key[:], request.GetKeyDigest())
	m.noteVersion(request.GetCatalogueVersion())
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(request.GetWaitMillis())*time.Millisecond, maxStoreTimeout))
	defer cancel()
	reply := m.answerRequest(ctx, caller, request)
	reply.CatalogueVersion = m.Catalogue().Version
	return &peerpb.Envelope{Member: m.MemberName, Body: &peerpb.Envelope_JobReply{JobReply: reply}}
}

// answerRequest carries out a request of a caller at another entry host.
func (m *Manager) answerRequest(ctx context.Context, caller Caller, request *peerpb.JobRequest) *peerpb.JobReply {
	if m.recheckKey(caller) != nil {
		return &peerpb.JobReply{Outcome: peerpb.JobReply_KEY_REFUSED}
	}
	// Host and path prefix together make up the key.
	q, id := work.Queue{Pool: request.GetPool(), Host: request.GetQueue(), Public: request.GetPublic()}, work.JobID(request.GetId())
	var state work.State
	var err error
	if request.GetCancel() {
		err = m.localCancel(ctx, caller, q, id)
	} else {
		state, err = m.localState(ctx, caller, q, id)
	}
	var notFound ErrJobNotFound
	var notAccepted ErrNotAccepted
	switch {
	case err == nil && request.GetCancel():
		return &peerpb.JobReply{Outcome: peerpb.JobReply_DONE}
	case err == nil:
		return &peerpb.JobReply{Outcome: peerpb.JobReply_DONE, State: state.String()}
	case errors.As(err, &notFound):
		return &peerpb.JobReply{Outcome: peerpb.JobReply_NOT_FOUND}
	case errors.As(err, &notAccepted):
		return &peerpb.JobReply{Outcome: peerpb.JobReply_NOT_DONE}
	}
	return &peerpb.JobReply{Outcome: peerpb.JobReply_UNSURE}
}
