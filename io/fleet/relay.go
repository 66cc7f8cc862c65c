package fleet

import (
	"context"
	"sort"
	"time"

	"siskincross/core/host"
	"siskincross/core/route"
	"siskincross/io/peer/peerpb"
)

// question asks a peer for its routes of a pool.
type question struct {
	member string
	pool   string
}

// maxQuestions bounds the questions that wait. A peer's next vouch repeats those that are dropped.
const maxQuestions = 64

// ask notes a question to be asked soon.
func (m *Manager) ask(q question) {
	select {
	case m.questions <- q:
	default:
	}
}

// runQuestions asks peers for newer routes until ctx ends. Routes reach an
// entry host without the store in this way, also from a peer that did not make
// them itself.
func (m *Manager) runQuestions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-m.questions:
			m.pull(ctx, q)
		}
	}
}

// pull asks one question: it sends the own version, and the peer answers with a newer one.
func (m *Manager) pull(ctx context.Context, q question) {
	m.mu.Lock()
	own := m.routes[q.pool].snapshot
	known := m.peers[q.member].versions[q.pool]
	m.mu.Unlock()
	if m.Link.Call == nil || own.Version >= known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	body := &peerpb.Routes{Pool: q.pool, Epoch: own.Epoch, Version: own.Version}
	reply, err := m.Link.Call(ctx, q.member, &peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_Routes{Routes: body}})
	if err != nil || reply.GetRoutes() == nil {
		return
	}
	m.receiveRoutes(ctx, q.member, reply)
}

// receiveRoutes adopts a snapshot that is newer than the own one, and answers with the own one if that is newer.
func (m *Manager) receiveRoutes(_ context.Context, _ string, e *peerpb.Envelope) *peerpb.Envelope {
	s := snapshotOf(e.GetRoutes())
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.routes[s.Pool].snapshot
	if current.NewerThan(s) {
		return m.routesMessage(current)
	}
	m.adopt(s, time.Now())
	return nil
}

// publish tells the routes of pools whose rows this member wrote to all peers.
func (m *Manager) publish(names []string) {
	if m.Link.Broadcast == nil {
		return
	}
	m.mu.Lock()
	messages := make([]*peerpb.Envelope, 0, len(names))
	for _, name := range names {
		messages = append(messages, m.routesMessage(m.routes[name].snapshot))
	}
	m.mu.Unlock()
	for _, message := range messages {
		m.Link.Broadcast(message)
	}
}

func (m *Manager) routesMessage(s route.Snapshot) *peerpb.Envelope {
	return &peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_Routes{Routes: routesOf(s)}}
}

func routesOf(s route.Snapshot) *peerpb.Routes {
	r := &peerpb.Routes{Pool: s.Pool, Epoch: s.Epoch, Version: s.Version}
	for _, t := range s.Targets {
		r.Targets = append(r.Targets, &peerpb.Target{
			Host:        string(t.Host),
			Address:     t.Address,
			Region:      t.Place.Region,
			Zone:        t.Place.Zone,
			Rack:        t.Place.Rack,
			Slots:       int32(t.Capacity.Slots),
			Connections: int32(t.Capacity.Connections),
		})
	}
	return r
}

func snapshotOf(r *peerpb.Routes) route.Snapshot {
	s := route.Snapshot{Pool: r.GetPool(), Epoch: r.GetEpoch(), Version: r.GetVersion()}
	for _, t := range r.GetTargets() {
		s.Targets = append(s.Targets, route.Target{
			Host:    host.ID(t.GetHost()),
			Address: t.GetAddress(),
			Place:   host.Place{Region: t.GetRegion(), Zone: t.GetZone(), Rack: t.GetRack()},
			Capacity: host.Capacity{
				Slots:       int(t.GetSlots()),
				Connections: int(t.GetConnections()),
			},
		})
	}
	sort.Slice(s.Targets, func(i, j int) bool { return s.Targets[i].Host < s.Targets[j].Host })
	return s
}
