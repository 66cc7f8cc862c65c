package runner_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"siskincross/core/event"
	"siskincross/core/organisation"
	"siskincross/core/work"
	"siskincross/io/peer"
	"siskincross/io/peer/peerpb"
	"siskincross/io/platform"
	"siskincross/io/runner"
)

// sharedVersion returns a version of the configuration in which organisations have keys, given as "name:key".
func sharedVersion(version uint64, keys ...string) work.Catalogue {
	c := catalogueWithPools((&fakeSite{}).queue(), 0)
	byName := make(map[string]organisation.Organisation)
	for _, k := range keys {
		name, key, _ := strings.Cut(k, ":")
		o := byName[name]
		o.Name, o.Keys = name, append(o.Keys, organisation.DigestKey(key))
		byName[name] = o
	}
	var all []organisation.Organisation
	for _, o := range byName {
		all = append(all, o)
	}
	c.Version, c.Organisations = version, organisation.NewDirectory(all)
	return c
}

// withSharedSite runs a test on linked entry hosts that are shared by the organisations baker (keys b1 and b2) and miller (key m1).
// Version 2 of the configuration withdraws b1 and adds b3, version 3 removes baker.
func withSharedSite(t *testing.T, hosts int, test func(*fakeSite)) {
	t.Helper()
	versions := map[int]work.Catalogue{
		1: sharedVersion(1, "baker:b1", "baker:b2", "miller:m1"),
		2: sharedVersion(2, "baker:b2", "baker:b3", "miller:m1"),
		3: sharedVersion(3, "miller:m1"),
	}
	runFakeSite(t, fakeSite{peers: newFakePeers(), versions: versions}, hosts, 2, test)
}

// configure writes a version of the configuration.
func (s *fakeSite) configure(version int) {
	s.store.put(platform.RowKey{Table: fakeOperatorsTable, Key: "config"}, version)
}

// callerWith authenticates a key at an entry host.
func (s *fakeSite) callerWith(host, key string) (runner.Caller, error) {
	m := s.entryHosts[host].manager
	return m.Authenticate(m.Catalogue(), s.queue(), organisation.DigestKey(key), true)
}

// submitWith submits a job with a key at an entry host.
func (s *fakeSite) submitWith(host, key string, j work.Job) error {
	caller, err := s.callerWith(host, key)
	if err != nil {
		return err
	}
	return s.submitBy(host, caller, j)
}

func (s *fakeSite) submitBy(host string, caller runner.Caller, j work.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return s.entryHosts[host].manager.Submit(ctx, caller, s.queue(), j)
}

// assertKeyRefused checks that an error is a refusal for a reason.
func (s *fakeSite) assertKeyRefused(err error, reason runner.KeyRefusal) {
	s.t.Helper()
	var refused runner.ErrKeyRefused
	if !errors.As(err, &refused) || refused.Reason != reason {
		s.t.Errorf("%v, expected a refusal because the key is %s", err, reason)
	}
}

// assertUnknownTo checks that the callers of a key learn nothing of a job at any entry host.
func (s *fakeSite) assertUnknownTo(key, id string) {
	s.t.Helper()
	for name, h := range s.entryHosts {
		caller, err := s.callerWith(name, key)
		s.is.NoErr(err)
		var none runner.ErrJobNotFound
		_, err = h.manager.State(context.Background(), caller, s.queue(), work.JobID(id))
		s.is.True(errors.As(err, &none))
		s.is.True(errors.As(h.manager.Cancel(context.Background(), caller, s.queue(), work.JobID(id)), &none))
	}
}

func TestOtherOrganisationsJob(t *testing.T) {
	for _, c := range []struct {
		what  string
		delay time.Duration
	}{{"waiting or running", 0}, {"completed", 3 * time.Second}} {
		t.Run("that is "+c.what+" is unknown to an organisation and known to its own", func(t *testing.T) {
			withSharedSite(t, 3, func(s *fakeSite) {
				s.is.NoErr(s.submitWith("e0", "b1", job("j", 4)))
				time.Sleep(c.delay)
				s.assertUnknownTo("m1", "j")
				caller, err := s.callerWith("e1", "b2")
				s.is.NoErr(err)
				_, err = s.entryHosts["e1"].manager.State(context.Background(), caller, s.queue(), "j")
				s.is.NoErr(err)
			})
		})
	}
	t.Run("that was cancelled stays unknown", func(t *testing.T) {
		withSharedSite(t, 2, func(s *fakeSite) {
			s.is.NoErr(s.submitWith("e0", "b1", job("j", 4)))
			caller, err := s.callerWith("e1", "b2")
			s.is.NoErr(err)
			s.is.NoErr(s.entryHosts["e1"].manager.Cancel(context.Background(), caller, s.queue(), "j"))
			s.assertUnknownTo("m1", "j")
			state, err := s.entryHosts["e0"].manager.State(context.Background(), caller, s.queue(), "j")
			s.is.NoErr(err)
			s.is.Equal(state, work.StateCancelled)
		})
	})
	t.Run("costs as many calls of the store as none", func(t *testing.T) {
		usage := &usageCounter{}
		usage.reset()
		versions := map[int]work.Catalogue{1: sharedVersion(1, "baker:b1", "miller:m1")}
		runFakeSite(t, fakeSite{versions: versions, usage: usage}, 1, 2, func(s *fakeSite) {
			s.is.NoErr(s.submitWith("e0", "b1", job("j", 4)))
			caller, err := s.callerWith("e0", "m1")
			s.is.NoErr(err)
			var calls []int
			for _, id := range []work.JobID{"j", "absent"} {
				before := usage.callsFor("state")
				_, err := s.entryHosts["e0"].manager.State(context.Background(), caller, s.queue(), id)
				s.is.True(err != nil)
				calls = append(calls, usage.callsFor("state")-before)
			}
			s.is.Equal(calls, []int{2, 2}) // a read in each pool, and one of the pools that may have stored the queue's jobs
		})
	})
	t.Run("is neither replaced nor confirmed by a submission under its ID", func(t *testing.T) {
		withSharedSite(t, 3, func(s *fakeSite) {
			holder := s.poolHolder()
			s.is.NoErr(s.submitWith(holder, "b1", job("j", 4)))
			for name := range s.entryHosts {
				var refused runner.ErrNotAccepted
				s.is.True(errors.As(s.submitWith(name, "m1", job("j", 1)), &refused))
				s.is.NoErr(s.submitWith(name, "b2", job("j", 4))) // a repeated request of its own organisation
			}
			s.awaitCompletedFor("baker", holder, "j", 5*time.Second)
			s.assertDoneOnce("j")
			s.assertUnknownTo("m1", "j")
		})
	})
	t.Run("and its own are told apart if both arrive under one ID at the same time", func(t *testing.T) {
		withSharedSite(t, 3, func(s *fakeSite) {
			s.store.setTransactionTime(10 * time.Millisecond)
			holder, results := s.poolHolder(), make(chan error, 3)
			for _, c := range []struct{ key, id string }{{"b1", "ahead"}, {"b1", "j"}, {"m1", "j"}} { // the last two wait for one transaction
				go func() { results <- s.submitWith(holder, c.key, job(c.id, 1)) }()
				time.Sleep(time.Millisecond)
			}
			stored := 0
			for range 3 {
				if <-results == nil {
					stored++
				}
			}
			s.is.Equal(stored, 2)
			s.awaitCompletedFor("baker", holder, "j", 5*time.Second)
			s.assertUnknownTo("m1", "j")
		})
	})
	t.Run("stays unknown after the takeover of its pool, and while it runs then", func(t *testing.T) {
		withSharedSite(t, 3, func(s *fakeSite) {
			holder := s.poolHolder()
			s.is.NoErr(s.submitWith(holder, "b1", job("j", 400))) // 20 tasks at a time
			time.Sleep(200 * time.Millisecond)
			s.kill(holder)
			time.Sleep(4 * time.Second)
			s.is.True(s.poolHolder() != holder)
			caller, err := s.callerWith(s.poolHolder(), "b2")
			s.is.NoErr(err)
			state, err := s.entryHosts[s.poolHolder()].manager.State(context.Background(), caller, s.queue(), "j")
			s.is.NoErr(err)
			s.is.Equal(state, work.StateRunning)
			s.assertUnknownTo("m1", "j")
			time.Sleep(20 * time.Second)
			s.awaitCompletedFor("baker", s.poolHolder(), "j", 5*time.Second)
			s.assertUnknownTo("m1", "j")
		})
	})
	t.Run("of a version without organisations is known to all", func(t *testing.T) {
		withSharedSite(t, 2, func(s *fakeSite) {
			s.is.NoErr(s.submitBy("e0", runner.Caller{}, job("j", 1)))
			s.awaitCompletedFor("miller", "e1", "j", 5*time.Second)
			s.is.NoErr(s.submitWith("e1", "b1", job("j", 1)))
		})
	})
}

// awaitCompletedFor waits until an organisation is told that its job is completed.
func (s *fakeSite) awaitCompletedFor(name, host, id string, limit time.Duration) {
	s.t.Helper()
	for start := time.Now(); time.Since(start) < limit; {
		state, err := s.entryHosts[host].manager.State(context.Background(), runner.Caller{Organisation: name}, s.queue(), work.JobID(id))
		if err == nil && state == work.StateCompleted {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("job %s is not completed at %s after %s", id, host, limit)
}

func TestWithdrawnKey(t *testing.T) {
	t.Run("is refused and an added one accepted at every entry host in time", func(t *testing.T) {
		withSharedSite(t, 3, func(s *fakeSite) {
			s.configure(2)
			time.Sleep(3 * time.Second)
			for name := range s.entryHosts {
				_, err := s.callerWith(name, "b1")
				s.assertKeyRefused(err, runner.KeyWithdrawn)
				_, err = s.callerWith(name, "b3")
				s.is.NoErr(err)
			}
			s.configure(1) // versions never go back
			time.Sleep(3 * time.Second)
			for name := range s.entryHosts {
				_, err := s.callerWith(name, "b1")
				s.assertKeyRefused(err, runner.KeyWithdrawn)
			}
		})
	})
	t.Run("is refused by the holder if the entry host that forwards the job knows an older version", func(t *testing.T) {
		withSharedSite(t, 3, func(s *fakeSite) {
			entry := s.otherHost(s.poolHolder())
			s.store.withholdTable(entry, fakeOperatorsTable)
			time.Sleep(2500 * time.Millisecond) // a poll that is in progress ends
			s.configure(2)
			time.Sleep(100 * time.Millisecond)
			s.assertKeyRefused(s.submitWith(entry, "b1", job("j", 1)), runner.KeyWithdrawn)
			s.is.Equal(s.jobRowCount("j"), 0)
		})
	})
	t.Run("added one is accepted from an entry host that knows a newer version than the holder", func(t *testing.T) {
		withSharedSite(t, 3, func(s *fakeSite) {
			holder := s.poolHolder()
			s.store.withholdTable(holder, fakeOperatorsTable)
			time.Sleep(2500 * time.Millisecond)
			s.configure(2)
			time.Sleep(100 * time.Millisecond)
			s.is.NoErr(s.submitWith(s.otherHost(holder), "b3", job("j", 1)))
			s.is.Equal(s.peers.handInCount(holder), 1)
			time.Sleep(300 * time.Millisecond)
			_, err := s.callerWith(holder, "b3") // the holder can't know, and has seen that there is a newer version
			s.assertKeyRefused(err, runner.KeyUndecided)
			_, err = s.callerWith(holder, "b1")
			s.assertKeyRefused(err, runner.KeyUndecided)
		})
	})
	t.Run("jobs of an organisation that leaves run on and new ones are refused", func(t *testing.T) {
		withSharedSite(t, 2, func(s *fakeSite) {
			s.is.NoErr(s.submitWith("e0", "b1", job("j", 40)))
			s.configure(3)
			time.Sleep(100 * time.Millisecond)
			s.assertKeyRefused(s.submitWith("e0", "b2", job("k", 1)), runner.KeyWithdrawn)
			s.awaitCompletedFor("baker", "e1", "j", 5*time.Second)
		})
	})
}

// TestOutdatedConfiguration runs an entry host whose polls of the configuration get no answer while the rest of the store serves
// it.
func TestOutdatedConfiguration(t *testing.T) {
	withSharedSite(t, 1, func(s *fakeSite) {
		m := s.entryHosts["e0"].manager
		assertDecisions := func(known, unknown error, mayRefuse, serving bool) {
			t.Helper()
			for key, expected := range map[string]error{"b1": known, "x": unknown} {
				_, err := s.callerWith("e0", key)
				var want, got runner.ErrKeyRefused
				if errors.As(expected, &want) != errors.As(err, &got) || got.Reason != want.Reason {
					t.Errorf("key %s at %s: %v, expected %v", key, time.Now().Format("05.000"), err, expected)
				}
			}
			s.is.Equal(m.MayRefuse(), mayRefuse)
			s.is.Equal(m.Serving(), serving)
		}
		undecided, unknown := runner.ErrKeyRefused{Reason: runner.KeyUndecided}, runner.ErrKeyRefused{Reason: runner.KeyUnknown}
		for range 100 { // no poll in progress makes the configuration look outdated
			assertDecisions(nil, unknown, true, true)
			time.Sleep(50 * time.Millisecond)
		}
		s.store.withholdTable("e0", fakeOperatorsTable)
		time.Sleep(5 * time.Second)
		assertDecisions(nil, undecided, false, true)
		time.Sleep(5 * time.Second)
		assertDecisions(undecided, undecided, false, false)
		s.store.withholdTable("", "")
		time.Sleep(5 * time.Second)
		assertDecisions(nil, unknown, true, true)
		s.is.Equal(s.eventCount(event.ConfigurationOutdated), 1)
		s.is.Equal(s.eventCount(event.ConfigurationCurrent), 1)
	})
}

// TestVersionsSideBySide exchanges the messages of an entry host that knows organisations and of an earlier one, whose messages
// and rows lack the new fields.
func TestVersionsSideBySide(t *testing.T) {
	t.Run("job of an earlier version is stored as a public one and its sender named", func(t *testing.T) {
		withSharedSite(t, 2, func(s *fakeSite) {
			holder := s.poolHolder()
			row := []byte(`{"queue":"h/q/","spec":"x","steps":[{"tasks":1,"milli-cores":100}],"accepted-millis":1,"attempts":2}`)
			reply, err := s.sendHandIn(holder, &peerpb.HandIn{Pool: fakePool, Jobs: []*peerpb.HandedJob{{Id: "j", Row: row}}})
			s.is.NoErr(err)
			s.is.Equal(reply.GetHandInOutcome().GetResults(), []peerpb.HandInOutcome_Result{peerpb.HandInOutcome_STORED})
			s.awaitCompletedFor("baker", holder, "j", 5*time.Second)
			_, err = s.sendHandIn(holder, &peerpb.HandIn{Pool: fakePool, Jobs: []*peerpb.HandedJob{{Id: "k", Row: row}}})
			s.is.NoErr(err)
			s.is.Equal(s.eventCount(event.HandInFailed), 1) // one line for each sender
		})
	})
	t.Run("answer of an earlier version without a version is taken", func(t *testing.T) {
		withSharedSite(t, 2, func(s *fakeSite) {
			entry := s.otherHost(s.poolHolder())
			s.peers.mu.Lock()
			s.peers.handlers[s.entryHosts[s.poolHolder()].manager.MemberName][peer.KindHandIn] = func(context.Context, string, *peerpb.Envelope) *peerpb.Envelope {
				return &peerpb.Envelope{Body: &peerpb.Envelope_HandInOutcome{HandInOutcome: &peerpb.HandInOutcome{
					Results: []peerpb.HandInOutcome_Result{peerpb.HandInOutcome_STORED},
				}}}
			}
			s.peers.mu.Unlock()
			s.is.NoErr(s.submitWith(entry, "b1", job("j", 1)))
			_, err := s.callerWith(entry, "b1")
			s.is.NoErr(err)
		})
	})
	t.Run("digest of a wrong length is refused with the name of the field", func(t *testing.T) {
		withSharedSite(t, 2, func(s *fakeSite) {
			row := []byte(`{"queue":"h/q/","steps":[{"tasks":1}],"attempts":2,"organisation":"baker"}`)
			_, err := s.sendHandIn(s.poolHolder(), &peerpb.HandIn{Pool: fakePool, Jobs: []*peerpb.HandedJob{{Id: "j", Row: row, KeyDigest: []byte("short")}}})
			s.is.True(err != nil && strings.Contains(err.Error(), "jobs.key-digest:"))
		})
	})
}

func TestRefusalRecords(t *testing.T) {
	t.Run("without organisations none is written for a queue or a job", func(t *testing.T) {
		withFakeSite(t, 1, 1, func(s *fakeSite) {
			s.entryHosts["e0"].manager.RecordUnknownQueue("h", "/x/")
			s.entryHosts["e0"].manager.RecordInvalid(runner.Caller{}, s.queue(), "j", errNoAnswer)
			s.is.Equal(s.eventCount(event.RequestRefused), 0)
		})
	})
	t.Run("each refusal has a line", func(t *testing.T) { assertRefusalRecords(t) })
}

// assertRefusalRecords checks the lines of a withdrawn key, an unknown queue and an invalid job.
func assertRefusalRecords(t *testing.T) {
	t.Helper()
	withSharedSite(t, 1, func(s *fakeSite) {
		s.configure(2)
		time.Sleep(time.Second)
		h := s.entryHosts["e0"]
		_, err := s.callerWith("e0", "b1")
		var refused runner.ErrKeyRefused
		s.is.True(errors.As(err, &refused))
		h.manager.RecordRefusal(s.queue(), "j", refused)
		h.manager.RecordUnknownQueue("h", "/"+strings.Repeat("x", 1000))
		h.manager.RecordInvalid(runner.Caller{Organisation: "baker"}, s.queue(), "j", errNoAnswer)
		s.is.Equal(s.eventCount(event.RequestRefused), 2)
		h.mu.Lock()
		defer h.mu.Unlock()
		i := slices.IndexFunc(h.events, func(e event.Event) bool { return e.Number == event.KeyRefused })
		s.is.True(i >= 0)
		s.is.Equal(h.events[i].Organisation, "baker")
		s.is.Equal(h.events[i].Job, "j")
		s.is.Equal(h.events[i].Detail, "queue q: withdrawn: its key, one of baker, was withdrawn in version 2")
		adopted := slices.IndexFunc(h.events, func(e event.Event) bool {
			return e.Number == event.CatalogueAdopted && strings.HasSuffix(e.Detail, "2 organisations (keys added 1; keys withdrawn 1)")
		})
		s.is.True(adopted >= 0)
		for _, e := range h.events {
			s.is.True(!strings.Contains(fmt.Sprint(e), fmt.Sprintf("%x", organisation.DigestKey("b1"))))
		}
	})
}
