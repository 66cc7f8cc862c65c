package fleet

import (
	"context"
	"sort"
	"time"

	"siskincross/core/host"
	"siskincross/core/route"
	"siskincross/io/peer/peerpb"
)

// routeQuery is a query to a peer for its routes of a pool.
type routeQuery struct {
	member string
	pool   string
}

// maxRouteQueries bounds the pending queries. Queries beyond it are dropped; the peer's
// next vouch enqueues them again.
const maxRouteQueries = 64

// enqueueRouteQuery enqueues a query, or drops it if the queue is full.
func (m *Manager) enqueueRouteQuery(q routeQuery) {
	select {
	case m.routeQueries <- q:
	default:
	}
}

// runRouteQueries queries peers for newer routes until ctx ends. This distributes routes
// independently of the table service, including routes that the queried peer received from
// another member.
func (m *Manager) runRouteQueries(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-m.routeQueries:
			m.queryRoutes(ctx, q)
		}
	}
}

// queryRoutes sends one query with the version known here. The peer replies if it has a
// newer one.
func (m *Manager) queryRoutes(ctx context.Context, q routeQuery) {
	m.mu.Lock()
	current := m.routes[q.pool].snapshot
	offered := m.peers[q.member].versions[q.pool]
	m.mu.Unlock()
	if m.Link.Call == nil || current.Version >= offered {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.Periods.CallTimeout)
	defer cancel()
	body := &peerpb.Routes{Pool: q.pool, Epoch: current.Epoch, Version: current.Version}
	reply, err := m.Link.Call(ctx, q.member, &peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_Routes{Routes: body}})
	if err != nil || reply.GetRoutes() == nil {
		return
	}
	m.handleRoutes(ctx, q.member, reply)
}

// handleRoutes adopts a snapshot that is newer than the known one, and replies with the
// known one if that is newer.
func (m *Manager) handleRoutes(_ context.Context, _ string, e *peerpb.Envelope) *peerpb.Envelope {
	s := snapshotFromProto(e.GetRoutes())
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.routes[s.Pool].snapshot
	if current.NewerThan(s) {
		return m.routesEnvelope(current)
	}
	m.adoptSnapshot(s, time.Now())
	return nil
}

// broadcastRoutes sends the routes of the named pools to all peers, after this member has
// written their rows.
func (m *Manager) broadcastRoutes(names []string) {
	if m.Link.Broadcast == nil {
		return
	}
	m.mu.Lock()
	messages := make([]*peerpb.Envelope, 0, len(names))
	for _, name := range names {
		messages = append(messages, m.routesEnvelope(m.routes[name].snapshot))
	}
	m.mu.Unlock()
	for _, message := range messages {
		m.Link.Broadcast(message)
	}
}

func (m *Manager) routesEnvelope(s route.Snapshot) *peerpb.Envelope {
	return &peerpb.Envelope{Member: m.Member, Body: &peerpb.Envelope_Routes{Routes: routesToProto(s)}}
}

func routesToProto(s route.Snapshot) *peerpb.Routes {
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

func snapshotFromProto(r *peerpb.Routes) route.Snapshot {
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
