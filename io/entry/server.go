// Package entry serves callers' HTTP requests: it has each of them answered by a target of
// its queue's pool and states one of three outcomes.
package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"siskincross/core/config"
	"siskincross/core/event"
	"siskincross/core/host"
	"siskincross/core/route"
	"siskincross/io/platform"
	"siskincross/io/timeline"
)

// Server is the callers' side of one entry host. Its fields are set before the first use and
// not changed afterwards.
type Server struct {
	// Config returns the configuration that is in force.
	Config func() config.Expanded
	// Snapshot returns a pool's targets, or false while this entry host can't vouch for them.
	Snapshot func(pool string) (route.Snapshot, bool)
	Table    platform.Table
	Objects  platform.ObjectStore
	Recorder *timeline.Recorder
	// Jobs serves the callers' job API under /jobs/; nil means 404.
	Jobs http.Handler
	// Members returns the number of live entry hosts, at least 1; nil means 1.
	Members func() int
	// PeerLoad returns the other entry hosts' requests in progress by host; it may be nil.
	PeerLoad func(pool string) map[host.ID]int
	// Scope receives the metrics; nil means none.
	Scope  tally.Scope
	Limits Limits
	// Member names this entry host's incarnation.
	Member string

	once       sync.Once
	limits     Limits
	metrics    metrics
	transports transports
	committer  *groupCommitter
	inflight   inflightKeys
	index      atomic.Pointer[configIndex]
	mu         sync.RWMutex
	pools      map[string]*pool
	// requests counts the requests in progress; draining refuses new ones.
	requests atomic.Int64
	draining atomic.Bool
	// cachedMemberCount is the number of entry hosts when it was last asked for, or 0.
	cachedMemberCount atomic.Int64
	// replayReserved is the number of bytes of request bodies that may be kept by the requests in progress.
	replayReserved atomic.Int64
}

const (
	// refreshInterval is how often each pool's snapshot and the peers' figures are read without traffic.
	refreshInterval = 50 * time.Millisecond
	// drainInterval is how often Drain looks for requests in progress.
	drainInterval = 5 * time.Millisecond
	// claimFlushTimeout bounds how long Drain waits for the store to take the claims' last states.
	claimFlushTimeout = 5 * time.Second
	queuesPrefix      = "/queues/"
	jobsPrefix        = "/jobs/"
)

// Handler returns the handler of the callers' requests.
func (s *Server) Handler() http.Handler {
	s.init()
	return http.HandlerFunc(s.route)
}

// HTTPServer returns an HTTP server with the limits set, ready to serve callers.
func (s *Server) HTTPServer() *http.Server {
	handler := s.Handler()
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    s.limits.HeaderBytes,
		ReadHeaderTimeout: s.limits.ReadHeaderTimeout,
		IdleTimeout:       s.limits.IdleTimeout,
	}
}

// Start runs the background loops until ctx ends. The channel gives nil once they have stopped.
func (s *Server) Start(ctx context.Context) <-chan error {
	s.init()
	done := make(chan error, 1)
	go func() {
		var loops sync.WaitGroup
		loops.Go(func() { s.refreshPools(ctx) })
		loops.Go(func() { s.committer.run(ctx) })
		loops.Go(func() { s.inflight.run(ctx) })
		sweep := sweeper{table: s.Table, objects: s.Objects, retention: s.limits.KeyRetention}
		loops.Go(func() { sweep.run(ctx, s.memberCount) })
		loops.Wait()
		s.transports.close()
		done <- nil
	}()
	return done
}

// InProgress returns the pool's requests in progress at targets, also at hosts outside the snapshot.
func (s *Server) InProgress(name string) map[host.ID]int {
	p := s.existingPool(name)
	if p == nil {
		return map[host.ID]int{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Board.InProgress()
}

// Demand returns the pool's requests in progress, those waiting, and the running count of arrivals.
func (s *Server) Demand(name string) (inProgress, queued int, arrivals uint64) {
	p := s.existingPool(name)
	if p == nil {
		return 0, 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Board.Total(), p.scheduler.Waiting(), p.scheduler.Arrivals()
}

// Drain refuses new requests as not run and returns when those in progress have ended and
// their claims are written, or with ctx's error. Claims that the store does not take wait for claimFlushTimeout at most.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	settled := time.Now().Add(claimFlushTimeout)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.requests.Load() > 0 || s.inflight.hasUnwritten() && time.Now().Before(settled) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *Server) init() {
	s.once.Do(func() {
		s.limits = s.Limits.withDefaults()
		s.metrics = newMetrics(s.Scope)
		s.transports.dialTimeout = s.limits.DialTimeout
		s.transports.maxIdleConns = s.limits.IdleConnections
		s.committer = newGroupCommitter(s.Table, s.limits.ClaimCommitsPerSecond)
	})
}

func (s *Server) route(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, queuesPrefix):
		s.serveQueues(w, r)
	case strings.HasPrefix(r.URL.Path, jobsPrefix) && s.Jobs != nil:
		s.serveJobs(w, r)
	default:
		s.respondNotRun(w, callerRequest{id: requestID(r)}, route.Refusal{Reason: route.ReasonUnknownQueue}, "there is no such path")
	}
}

func (s *Server) serveJobs(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	defer s.requests.Add(-1)
	if s.draining.Load() {
		s.respondNotRun(w, callerRequest{id: requestID(r)}, route.Refusal{Reason: route.ReasonDraining, RetryAfter: drainRetryAfter}, "")
		return
	}
	s.Jobs.ServeHTTP(w, r)
}

// existingPool returns a pool that callers have asked for, or nil.
func (s *Server) existingPool(name string) *pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[name]
}

func (s *Server) pool(name string) *pool {
	if p := s.existingPool(name); p != nil {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = make(map[string]*pool)
	}
	if s.pools[name] == nil {
		s.pools[name] = newPool(s, name)
	}
	return s.pools[name]
}

func (s *Server) refreshPools(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s.committer.limiter.SetLimit(rate.Limit(s.limits.ClaimCommitsPerSecond / float64(s.updateMemberCount())))
		s.mu.RLock()
		pools := make([]*pool, 0, len(s.pools))
		for _, p := range s.pools {
			pools = append(pools, p)
		}
		s.mu.RUnlock()
		for _, p := range pools {
			p.refreshIfActive()
		}
	}
}

// memberCount returns the number of entry hosts as of the last refresh.
func (s *Server) memberCount() int {
	if n := s.cachedMemberCount.Load(); n > 0 {
		return int(n)
	}
	return s.updateMemberCount()
}

func (s *Server) updateMemberCount() int {
	n := 1
	if s.Members != nil {
		n = max(1, s.Members())
	}
	s.cachedMemberCount.Store(int64(n))
	return n
}

func (s *Server) record(e event.Event) {
	if s.Recorder != nil {
		s.Recorder.Record(e)
	}
}
