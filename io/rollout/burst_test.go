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
	// burstChanges come within burstSpan. At 8,300 changes a day a burst of this
	// size comes every 208 s; here it comes much sooner after the one before.
	burstChanges  = 20
	burstSpan     = time.Second
	burstInterval = 30 * time.Second
	bursts        = 4
	entryHosts    = 7
	// pollStep is the resolution of measured roll-out times.
	pollStep = 10 * time.Millisecond
)

// setting is one row of the table of roll-out times.
type setting struct {
	name string
	// call is the time of each call to the store.
	call time.Duration
	// replace is how often the oldest entry host is replaced; zero means never.
	replace time.Duration
	// lost makes each burst begin with that many commits without an answer.
	lost  int
	bound time.Duration
}

func TestRolloutTime(t *testing.T) {
	for _, s := range []setting{
		{name: "ordinary", call: 5 * time.Millisecond, bound: 2 * time.Second},
		{name: "ordinary, answers lost", call: 5 * time.Millisecond, lost: 3, bound: 2 * time.Second},
		{name: "ordinary, hosts replaced", call: 5 * time.Millisecond, replace: 7 * time.Second, bound: 19 * time.Second},
		{name: "slow store", call: time.Second, bound: 19 * time.Second},
		{name: "slow store, hosts replaced", call: time.Second, replace: 7 * time.Second, bound: 19 * time.Second},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				times := measure(t, s)
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

// measure makes the bursts and returns the roll-out times in milliseconds.
func measure(t *testing.T, s setting) *hdrhistogram.Histogram {
	c := newCluster(t)
	for i := range entryHosts {
		c.start(fmt.Sprintf("h%02d", i), slowObjects(s.call))
	}
	c.table.SetFaults(standin.TableFaults{Delay: s.call})
	time.Sleep(10 * time.Second)
	stop := make(chan struct{})
	var background sync.WaitGroup
	if s.replace > 0 {
		background.Add(1)
		go func() {
			defer background.Done()
			replaceHosts(c, s, stop)
		}()
	}
	versions := make([]config.Version, burstChanges)
	times := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	for burst := range bursts {
		c.table.SetFaults(standin.TableFaults{Delay: s.call, LoseAnswers: s.lost})
		makeBurst(c, burst, versions, times)
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

// replaceHosts starts a new entry host and ends the oldest one, again and again.
func replaceHosts(c *cluster, s setting, stop <-chan struct{}) {
	for i := entryHosts; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(s.replace):
		}
		fresh := c.start(fmt.Sprintf("h%02d", i), slowObjects(s.call))
		<-fresh.Ready()
		c.stop(c.members()[0])
	}
}

// makeBurst changes as many organisations at once and waits until all changes are in force.
func makeBurst(c *cluster, burst int, versions []config.Version, times *hdrhistogram.Histogram) {
	var mu sync.Mutex
	var changes sync.WaitGroup
	for i := range burstChanges {
		changes.Add(1)
		go func() {
			defer changes.Done()
			time.Sleep(burstSpan * time.Duration(i) / burstChanges)
			version, took := c.rollOut(fmt.Sprintf("org-%d", i), 9+burst, i, versions[i])
			versions[i] = version
			mu.Lock()
			defer mu.Unlock()
			_ = times.RecordValue(took.Milliseconds())
		}()
	}
	changes.Wait()
}

// rollOut makes one change, again with the same ID where its entry host ended, and
// returns its version and the time until every entry host holds it.
func (c *cluster) rollOut(organisation string, hosts, i int, from config.Version) (config.Version, time.Duration) {
	change := c.changeOf(organisation, hosts)
	change.From = from
	change.ID = fmt.Sprintf("%s-%d", organisation, hosts)
	begun := time.Now()
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
		for !c.allHold(accepted) {
			time.Sleep(pollStep)
		}
		return accepted.Version, time.Since(begun)
	}
}

func (c *cluster) allHold(accepted Acceptance) bool {
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
