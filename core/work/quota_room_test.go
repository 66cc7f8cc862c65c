package work_test

import (
	"testing"
	"time"

	"siskincross/core/organisation"
	"siskincross/core/work"
)

// setLimits sets the limits of organisations in cores.
func (f limited) setLimits(limits map[string]int) {
	var all []organisation.Organisation
	for name, cores := range limits {
		all = append(all, organisation.Organisation{Name: name, Limit: work.Resources{MilliCores: cores * 1000}})
	}
	f.scheduler.Quota.SetLimits(organisation.NewDirectory(all), work.Resources{}, false, f.now)
}

// assertStarts runs rounds until a task of the job starts, for this time at most.
func (f limited) assertStarts(id work.JobID, limit time.Duration) {
	for end := f.now.Add(limit); f.now.Before(end); {
		for _, o := range f.storedRound() {
			if o.Kind == work.OrderStart && o.Run.Task.Job == id {
				return
			}
		}
	}
	f.is.Equal("no start", id)
}

// TestRoomBesideOrganisationAtLimit guards against a pool in which no job of any organisation starts because one at its limit, or a step
// that fits on no worker, has more waiting than the pool has room for.
func TestRoomBesideOrganisationAtLimit(t *testing.T) {
	wide := func(id work.JobID, change func(*work.Step)) work.Job {
		j := chainJob(id, 12)
		if change != nil {
			change(&j.Steps[0])
		}
		return j
	}
	for name, c := range map[string]struct {
		waiting work.Job
		limit   int
	}{
		"tasks beyond the limit":                            {wide("w", nil), 2},
		"lasting tasks beyond it":                           {newLongRunningJob("w", 12), 2},
		"a label that no worker has":                        {wide("w", func(s *work.Step) { s.RequiredLabel = "nowhere" }), 12},
		"more tasks than the step may have on the workers":  {wide("w", func(s *work.Step) { s.SpreadLimit = 1 }), 12},
		"tasks that are larger than what a worker has free": {wide("w", func(s *work.Step) { s.Demand.MilliCores = 5000 }), 60},
		"a gang that fits on no workers together": {wide("w", func(s *work.Step) {
			s.Gang, s.TaskCount, s.Demand.MilliCores = true, 2, 3000
			s.RequiredLabel = "nowhere"
		}), 12},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitedFixture(t, 2)
			f.setLimits(map[string]int{"o": c.limit, "p": 100})
			f.submit("o", c.waiting)
			after := chainJob("k", 4)
			after.Priority = 1
			f.submit("p", after)
			f.assertStarts("k", 100*time.Millisecond)
		})
	}
	t.Run("a gang that can't fit beside lasting tasks holds up none of its organisation", func(t *testing.T) {
		f := newLimitedFixture(t, 6)
		lasting := newLongRunningJob("lasting", 2)
		f.submit("o", lasting)
		f.assertStarts("lasting", time.Second)
		gang := chainJob("gang", 5)
		gang.Steps[0].Gang = true
		f.submit("o", gang)
		for range 15 {
			f.storedRound()
		}
		f.submit("o", chainJob("behind", 2))
		f.assertStarts("behind", 2*time.Second)
	})
}
