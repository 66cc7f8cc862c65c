// Package entry serves callers' HTTP requests. It forwards each request to a target of its
// queue's pool and reports one of three outcomes: answered, not run or unknown.
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
	"siskincross/io/intake"
	"siskincross/io/platform"
	"siskincross/io/timeline"
)

// Server is the HTTP server for callers of one entry host. Its exported fields are set before
// the first use and must not change afterwards.
type Server struct {
	// Config returns the configuration in force.
	Config func() config.Expanded
	// Snapshot returns the targets of a pool. It returns false while this entry host can't vouch for them.
	Snapshot func(pool string) (route.Snapshot, bool)
	Table    platform.Table
	Objects  platform.ObjectStore
	Recorder *timeline.Recorder
	// Jobs serves the job API under /jobs/. If it is nil, these paths are answered with 404.
	Jobs http.Handler
	// Members returns the number of live entry hosts. A nil function stands for one entry host.
	Members func() int
	// PeerLoad returns how many requests the other entry hosts have in progress on each host of a pool. It may be nil.
	PeerLoad func(pool string) map[host.ID]int
	// Scope receives the metrics. If it is nil, none are reported.
	Scope  tally.Scope
	Limits Limits
	// Member is the name of this incarnation of the entry host.
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
	// requests is the number of requests in progress. While draining is set, new requests are refused.
	requests atomic.Int64
	draining atomic.Bool
	// cachedMemberCount is the last result of Members, or 0 before the first call.
	cachedMemberCount atomic.Int64
	// replayReserved is the number of bytes that the requests in progress have reserved to buffer their bodies.
	replayReserved atomic.Int64
	// incomplete holds the bodies of requests that have not been read whole.
	incomplete intake.Pool
}

const (
	// refreshInterval is the interval at which the snapshot and peer load of each active pool are read.
	refreshInterval = 50 * time.Millisecond
	// drainInterval is the interval at which Drain checks for requests in progress.
	drainInterval = 5 * time.Millisecond
	// claimFlushTimeout bounds how long Drain waits until the final states of all claims are written.
	claimFlushTimeout = 5 * time.Second
	queuesPrefix      = "/queues/"
	jobsPrefix        = "/jobs/"
)

// Handler returns the HTTP handler for callers' requests.
func (s *Server) Handler() http.Handler {
	s.init()
	return http.HandlerFunc(s.route)
}

// HTTPServer returns an HTTP server for callers that enforces the limits on headers and idle connections.
func (s *Server) HTTPServer() *http.Server {
	handler := s.Handler()
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    s.limits.HeaderBytes,
		ReadHeaderTimeout: s.limits.ReadHeaderTimeout,
		IdleTimeout:       s.limits.IdleTimeout,
	}
}

// Start runs the background loops until ctx is done. The returned channel receives nil once they have stopped.
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

// InProgress returns the number of requests in progress on each host of a pool, including hosts that are no
// longer in the snapshot.
func (s *Server) InProgress(name string) map[host.ID]int {
	p := s.existingPool(name)
	if p == nil {
		return map[host.ID]int{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Selector.InProgress()
}

// Demand returns the number of requests of a pool that are in progress, the number that are queued, and the
// cumulative number of arrivals.
func (s *Server) Demand(name string) (inProgress, queued int, arrivals uint64) {
	p := s.existingPool(name)
	if p == nil {
		return 0, 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Selector.InProgressCount(), p.scheduler.WaitingCount(), p.scheduler.ArrivalCount()
}

// Drain refuses new requests as not run and waits until the requests in progress have ended and their claims
// are written. It waits at most claimFlushTimeout for claims that the store does not accept, and returns the
// error of ctx if that is done first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	flushDeadline := time.Now().Add(claimFlushTimeout)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.requests.Load() > 0 || s.inflight.hasUnwritten() && time.Now().Before(flushDeadline) {
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
		s.respondNotRun(w, callerRequest{id: requestID(r)}, route.Refusal{Reason: route.ReasonUnknownQueue}, "path not found")
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

// existingPool returns the named pool if a caller has used it, else nil.
func (s *Server) existingPool(name string) *pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[name]
}

// pool returns the named pool and creates it at the first use.
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

// refreshPools refreshes the active pools and the rate limit of claim commits until ctx is done.
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

// memberCount returns the cached number of entry hosts.
func (s *Server) memberCount() int {
	if n := s.cachedMemberCount.Load(); n > 0 {
		return int(n)
	}
	return s.updateMemberCount()
}

// updateMemberCount calls Members and caches the result.
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
