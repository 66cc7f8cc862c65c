package rollout

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskincross/core/config"
	"siskincross/io/standin"
)

const (
	// burstChanges arrive within burstSpan. At 8,300 changes a day, a burst of this size
	// would arrive every 208 s; the test makes them follow one another much sooner.
	burstChanges  = 20
	burstSpan     = time.Second
	burstInterval = 30 * time.Second
	bursts        = 4
	entryHosts    = 7
	// pollStep is the resolution of the measured roll-out times.
	pollStep = 10 * time.Millisecond
)

// rolloutCase is one case of TestRolloutTime.
type rolloutCase struct {
	name string
	// storeDelay is the duration of each call to the table service and the object store.
	storeDelay time.Duration
	// replaceEvery is the interval at which the oldest entry host is replaced; zero means
	// never.
	replaceEvery time.Duration
	// lostAnswers is the number of commits at the start of each burst whose response is
	// lost.
	lostAnswers int
	bound       time.Duration
}

func TestRolloutTime(t *testing.T) {
	for _, s := range []rolloutCase{
		{name: "ordinary", storeDelay: 5 * time.Millisecond, bound: 2 * time.Second},
		{name: "ordinary, answers lost", storeDelay: 5 * time.Millisecond, lostAnswers: 3, bound: 2 * time.Second},
		{name: "ordinary, hosts replaced", storeDelay: 5 * time.Millisecond, replaceEvery: 7 * time.Second, bound: 19 * time.Second},
		{name: "slow store", storeDelay: time.Second, bound: 19 * time.Second},
		{name: "slow store, hosts replaced", storeDelay: time.Second, replaceEvery: 7 * time.Second, bound: 19 * time.Second},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				times := measureRolloutTimes(t, s)
				p99 := time.Duration(times.ValueAtQuantile(99)) * time.Millisecond
				t.Logf("%-28s changes %d p50 %d ms p99 %s max %d ms", s.name, times.TotalCount(), times.ValueAtQuantile(50), p99, times.Max())
				if p99 > s.bound {
					t.Errorf("p99 of the roll-out time is %s, the target is %s", p99, s.bound)
				}
				if times.TotalCount() != bursts*burstChanges {
					t.Errorf("%d changes came into force, %d were made", times.TotalCount(), bursts*burstChanges)
				}
			})
		})
	}
}

// measureRolloutTimes applies the bursts and returns the roll-out times in milliseconds.
func measureRolloutTimes(t *testing.T, s rolloutCase) *hdrhistogram.Histogram {
	c := newCluster(t)
	for i := range entryHosts {
		c.start(fmt.Sprintf("h%02d", i), slowObjects(s.storeDelay))
	}
	c.table.SetFaults(standin.TableFaults{Delay: s.storeDelay})
	time.Sleep(10 * time.Second)
	stop := make(chan struct{})
	var background sync.WaitGroup
	if s.replaceEvery > 0 {
		background.Add(1)
		go func() {
			defer background.Done()
			replaceHosts(c, s, stop)
		}()
	}
	versions := make([]config.Version, burstChanges)
	times := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	for burst := range bursts {
		c.table.SetFaults(standin.TableFaults{Delay: s.storeDelay, LoseAnswers: s.lostAnswers})
		applyBurst(c, burst, versions, times)
		time.Sleep(burstInterval)
	}
	close(stop)
	background.Wait()
	c.stopAll()
	return times
}

func slowObjects(call time.Duration) func(*Manager) {
	return func(m *Manager) {
		put, get := m.Objects.Put, m.Objects.Get
		m.Objects.Put = func(ctx context.Context, name string, content []byte) error {
			time.Sleep(call)
			return put(ctx, name, content)
		}
		m.Objects.Get = func(ctx context.Context, name string) ([]byte, error) {
			time.Sleep(call)
			return get(ctx, name)
		}
	}
}

// replaceHosts repeatedly starts a new entry host and stops the oldest one, until stop is
// closed.
func replaceHosts(c *cluster, s rolloutCase, stop <-chan struct{}) {
	for i := entryHosts; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(s.replaceEvery):
		}
		started := c.start(fmt.Sprintf("h%02d", i), slowObjects(s.storeDelay))
		<-started.Ready()
		c.stop(c.members()[0])
	}
}

// applyBurst changes burstChanges organisations within burstSpan and waits until all
// changes are in force.
func applyBurst(c *cluster, burst int, versions []config.Version, times *hdrhistogram.Histogram) {
	var mu sync.Mutex
	var changes sync.WaitGroup
	for i := range burstChanges {
		changes.Add(1)
		go func() {
			defer changes.Done()
			time.Sleep(burstSpan * time.Duration(i) / burstChanges)
			version, duration := c.applyAndWait(fmt.Sprintf("org-%d", i), 9+burst, i, versions[i])
			versions[i] = version
			mu.Lock()
			defer mu.Unlock()
			_ = times.RecordValue(duration.Milliseconds())
		}()
	}
	changes.Wait()
}

// applyAndWait applies one change and retries it with the same ID at the next entry host if
// that fails, for example because the entry host was stopped. It returns the version and
// the time until all ready entry hosts have it.
func (c *cluster) applyAndWait(organisation string, hosts, i int, from config.Version) (config.Version, time.Duration) {
	change := c.smallChange(organisation, hosts)
	change.From = from
	change.ID = fmt.Sprintf("%s-%d", organisation, hosts)
	started := time.Now()
	for attempt := 0; ; attempt++ {
		members := c.members()
		n := c.node(members[(i+attempt)%len(members)])
		if n == nil {
			continue
		}
		accepted, err := n.Apply(context.Background(), change)
		if err != nil {
			time.Sleep(pollStep)
			continue
		}
		for !c.allMembersHold(accepted) {
			time.Sleep(pollStep)
		}
		return accepted.Version, time.Since(started)
	}
}

func (c *cluster) allMembersHold(accepted Acceptance) bool {
	for _, member := range c.members() {
		n := c.node(member)
		if n == nil {
			continue
		}
		select {
		case <-n.Ready():
			if n.Current().Version < accepted.Version {
				return false
			}
		default:
		}
	}
	return true
}
