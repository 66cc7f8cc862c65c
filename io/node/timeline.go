package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"siskincross/core/event"
	"siskincross/io/peer/peerpb"
	"siskincross/io/timeline"
)

// timelineTimeout bounds the wait for the events of the peers.
const timelineTimeout = 2 * time.Second

// timeline returns the events of all reachable entry hosts that match f, merged in order.
func (n *Node) timeline(ctx context.Context, f timeline.Filter) []event.Event {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	lists := [][]event.Event{timeline.Select(n.recorder.Events(), f)}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, p := range n.link.Peers() {
		calls.Go(func() {
			events := n.peerEvents(ctx, p.Member, f)
			mu.Lock()
			defer mu.Unlock()
			lists = append(lists, events)
		})
	}
	calls.Wait()
	return timeline.Merge(lists...)
}

// peerEvents returns the events of a peer that match f, or nil if the peer doesn't respond.
func (n *Node) peerEvents(ctx context.Context, member string, f timeline.Filter) []event.Event {
	request := &peerpb.TimelineRequest{Host: f.Host, Pool: f.Pool, Job: f.Job, Request: f.Request}
	reply, err := n.link.Call(ctx, member, &peerpb.Envelope{
		Body: &peerpb.Envelope_TimelineRequest{TimelineRequest: request},
	})
	if err != nil {
		return nil
	}
	var events []event.Event
	for _, encoded := range reply.GetTimelineReply().GetEvents() {
		var e event.Event
		if json.Unmarshal(encoded, &e) == nil {
			events = append(events, e)
		}
	}
	return events
}

// answerTimeline handles a peer's request for the events of this process.
func (n *Node) answerTimeline(_ context.Context, _ string, message *peerpb.Envelope) *peerpb.Envelope {
	request := message.GetTimelineRequest()
	f := timeline.Filter{Host: request.GetHost(), Pool: request.GetPool(), Job: request.GetJob(), Request: request.GetRequest()}
	reply := &peerpb.TimelineReply{}
	for _, e := range timeline.Select(n.recorder.Events(), f) {
		if encoded, err := json.Marshal(e); err == nil {
			reply.Events = append(reply.Events, encoded)
		}
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_TimelineReply{TimelineReply: reply}}
}
