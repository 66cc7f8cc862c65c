package runner_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"siskincross/core/duty"
	"siskincross/core/organisation"
	"siskincross/core/work"
	"siskincross/io/platform"
)

// announceAs renews the row of a member that holds another pool and names waiting organisations, until the time has passed.
func (s *fakeSite) announceAs(member string, waiting []string, d time.Duration) {
	end := time.Now().Add(d)
	for beats := uint64(1); time.Now().Before(end); beats++ {
		s.store.put(platform.RowKey{Table: "fleet", Key: "member/" + member}, duty.Member{Name: member, Heartbeats: beats, Waiting: waiting})
		time.Sleep(700 * time.Millisecond)
	}
}

// isAnnounced reports whether a member row names the organisation as waiting.
func (s *fakeSite) isAnnounced(organisation string) bool {
	for _, row := range s.store.readRange(platform.RangeQuery{Table: "fleet"}).Rows {
		var member duty.Member
		s.is.NoErr(json.Unmarshal(row.Value, &member))
		for _, name := range member.Waiting {
			if name == organisation {
				return true
			}
		}
	}
	return false
}

// TestIdleRoomForOtherPools guards against a task that waits for good in one pool because another pool, in which tasks of its organisation
// last, keeps room that it doesn't use.
func TestIdleRoomForOtherPools(t *testing.T) {
	const limit, running = 16, 6
	withLasting := func(t *testing.T, test func(*fakeSite)) {
		withLimitedSite(t, limit, func(s *fakeSite) {
			for _, w := range s.workers {
				w.taskTime = time.Hour
			}
			s.is.NoErr(s.submitFor("e0", "lasting", running))
			time.Sleep(3 * time.Second)
			s.is.Equal(s.runningTasks(), running)
			test(s)
		})
	}
	t.Run("is given back once tasks wait elsewhere", func(t *testing.T) {
		withLasting(t, func(s *fakeSite) {
			s.is.True(s.grantedCores() > running)
			s.announceAs("other", []string{fakeOrganisation}, 2*time.Second)
			s.is.Equal(s.grantedCores(), running)
		})
	})
	t.Run("is not while tasks of other organisations do", func(t *testing.T) {
		withLasting(t, func(s *fakeSite) {
			s.announceAs("other", []string{"nobody"}, 2*time.Second)
			s.is.True(s.grantedCores() > running)
		})
	})
	t.Run("nor once the member that announced it is gone", func(t *testing.T) {
		withLasting(t, func(s *fakeSite) {
			s.announceAs("other", []string{fakeOrganisation}, 2*time.Second)
			time.Sleep(4 * time.Second) // the member has lapsed
			s.is.NoErr(s.submitFor("e0", "more", 1))
			time.Sleep(2 * time.Second)
			s.is.True(s.grantedCores() > running+1)
		})
	})
	t.Run("tasks that wait for another pool's room are announced, and no longer once they run", func(t *testing.T) {
		withLimitedSite(t, limit, func(s *fakeSite) {
			s.putGrant(limit)
			s.is.NoErr(s.submitFor("e0", "j", 3))
			time.Sleep(2 * time.Second)
			s.is.True(s.isAnnounced(fakeOrganisation))
			s.putGrant(0)
			s.awaitCompletedFor(fakeOrganisation, "e0", "j", 10*time.Second)
			time.Sleep(2 * time.Second)
			s.is.True(!s.isAnnounced(fakeOrganisation))
		})
	})
}

// TestAnnouncedWaitsAreBounded guards against member rows that grow with the number of organisations: those that have waited longest are
// named.
func TestAnnouncedWaitsAreBounded(t *testing.T) {
	const organisations, most = 40, 32
	var all []organisation.Organisation
	for i := range organisations {
		all = append(all, organisation.Organisation{Name: fmt.Sprintf("o%02d", i), Limit: work.Resources{MilliCores: 2000}})
	}
	runFakeSite(t, fakeSite{organisations: organisation.NewDirectory(all)}, 3, 20, func(s *fakeSite) {
		for _, o := range all {
			entry := map[string]any{"epoch": 1, "milli-cores": 2000}
			s.store.put(platform.RowKey{Table: "grants", Partition: "!grants", Key: o.Name}, map[string]any{"pools": map[string]any{"other": entry}})
		}
		for i := range all {
			j := job(fmt.Sprintf("j%02d", i), 1)
			j.Organisation = all[len(all)-1-i].Name
			s.is.NoErr(s.submitJob("e0", j))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		named := 0
		for i, o := range all {
			if s.isAnnounced(o.Name) {
				named++
				s.is.True(i >= organisations-most) // it was submitted before those that aren't named
			}
		}
		s.is.Equal(named, most)
	})
}
