package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/organisation"
	"siskincross/core/quota"
	"siskincross/core/resource"
)

// fixture is a ledger of pool "a" with epoch 10, one organisation with a limit of 100 cores, and its row in the store.
type fixture struct {
	*quota.Ledger
	is  *is.I
	now time.Time
	row quota.VersionedRow
}

func cores(n int) resource.Amount { return resource.Amount{MilliCores: n} }

// withLedger runs a test on a ledger that has read the given row.
func withLedger(t *testing.T, row quota.Row, test func(*fixture)) {
	t.Helper()
	f := &fixture{Ledger: &quota.Ledger{Pool: "a", Epoch: 10}, is: is.New(t), now: time.Unix(1000, 0)}
	if row != nil {
		f.row = quota.VersionedRow{Row: row, Version: 5}
	}
	f.setLimit(100, 1000)
	f.BeginRound(f.now)
	f.Load(map[string]quota.VersionedRow{modelOrganisation: f.row})
	test(f)
}

// setLimit sets the limit, and what all workers offer together.
func (f *fixture) setLimit(limit, offered int) {
	directory := organisation.NewDirectory([]organisation.Organisation{{Name: modelOrganisation, Limit: cores(limit)}})
	f.SetLimits(directory, cores(offered), true, f.now)
}

func (f *fixture) fits(n int) bool { return f.Fits(modelOrganisation, cores(n)) }
func (f *fixture) acquire(n int)   { f.Acquire(modelOrganisation, cores(n)) }
func (f *fixture) release(n int)   { f.Release(modelOrganisation, cores(n)) }

// want makes a number of runs lack room in a new round.
func (f *fixture) want(n, count int) {
	f.BeginRound(f.now)
	f.Want(modelOrganisation, cores(n), count)
}

// pass lets time pass, with a round in which nothing lacks room.
func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.BeginRound(f.now)
}

// store carries out the writes that are due until there are none, and returns their number.
func (f *fixture) store() int {
	n := 0
	for ; ; n++ {
		w, due := f.NextWrite(f.now)
		if !due {
			return n
		}
		f.put(w)
	}
}

// put carries out a write.
func (f *fixture) put(w quota.Write) {
	f.is.Equal(w.Rows[0].Version, f.row.Version)
	f.row = quota.VersionedRow{Row: w.Rows[0].Row, Version: f.row.Version + 1}
	f.Confirm(w, f.row.Version)
}

// assertStored asserts what the pool has been granted in the store.
func (f *fixture) assertStored(lowest, highest int) {
	got := f.row.Row["a"].Granted.MilliCores
	f.is.True(got >= lowest && got <= highest) // the stored grant is within the bounds
}

func TestClaims(t *testing.T) {
	t.Run("nothing starts before a claim is confirmed", func(t *testing.T) {
		withLedger(t, nil, func(f *fixture) {
			f.is.True(!f.fits(1))
			f.want(10, 2)
			w, due := f.NextWrite(f.now)
			f.is.True(due)
			f.is.True(!f.fits(1))
			f.put(w)
			f.is.True(f.fits(20))
		})
	})
	t.Run("a claim holds at most a quarter of the limit idle", func(t *testing.T) {
		withLedger(t, nil, func(f *fixture) {
			f.want(10, 2)
			f.store()
			f.assertStored(20, 45)
		})
	})
	t.Run("pools together stay within the limit", func(t *testing.T) {
		withLedger(t, quota.Row{"b": {Epoch: 3, Granted: cores(75)}}, func(f *fixture) {
			f.want(10, 5)
			f.store()
			f.assertStored(20, 25)
			f.is.True(f.fits(20))
			f.is.True(!f.fits(30))
			f.is.True(f.Usages()[0].AtLimit)
		})
	})
	// Two pools that each hold a part of the room of a large task would wait for each other.
	t.Run("room for a part of a task is not claimed", func(t *testing.T) {
		withLedger(t, quota.Row{"b": {Epoch: 3, Granted: cores(50)}}, func(f *fixture) {
			f.want(80, 1)
			f.is.Equal(f.store(), 0)
			f.is.True(f.Usages()[0].AtLimit)
		})
	})
	t.Run("an organisation whose limit can't bind costs no call", func(t *testing.T) {
		withLedger(t, nil, func(f *fixture) {
			f.pass(time.Minute)
			f.setLimit(100, 60)
			f.is.True(f.fits(80))
			f.acquire(50)
			f.want(50, 1)
			f.is.Equal(f.store(), 0)
			f.is.True(!f.ReadDue(f.now))
		})
	})
	t.Run("running work is claimed first when workers are added and the limit can bind", func(t *testing.T) {
		withLedger(t, nil, func(f *fixture) {
			f.pass(time.Minute)
			f.setLimit(100, 60)
			f.acquire(50)
			f.setLimit(100, 90)
			f.is.True(f.fits(1)) // other pools claim what they run meanwhile
			f.store()
			f.assertStored(50, 100)
			f.pass(time.Second)
			f.Learn(modelOrganisation, quota.VersionedRow{Row: f.row.Row.With("b", quota.Entry{Granted: cores(100)}), Version: f.row.Version + 1})
			f.is.True(!f.fits(1))
		})
	})
}

func TestReleases(t *testing.T) {
	t.Run("idle room is given back within half a second", func(t *testing.T) {
		withLedger(t, nil, func(f *fixture) {
			f.want(40, 2)
			f.store()
			f.acquire(80)
			f.pass(100 * time.Millisecond)
			f.store()
			f.release(80)
			for range 10 {
				f.pass(50 * time.Millisecond)
				f.store()
			}
			f.assertStored(0, 0)
		})
	})
	t.Run("what is given back is not used while the write is on its way", func(t *testing.T) {
		withLedger(t, nil, func(f *fixture) {
			f.want(40, 2)
			f.store()
			f.pass(time.Second)
			_, due := f.NextWrite(f.now)
			f.is.True(due)
			f.is.True(!f.fits(1))
		})
	})
	// The write can still be carried out while the row has the version that it expects.
	t.Run("a release without an answer is not used until the row has another version", func(t *testing.T) {
		withLedger(t, nil, func(f *fixture) {
			f.want(40, 2)
			f.store()
			f.pass(time.Second)
			w, _ := f.NextWrite(f.now)
			f.Abandon(w)
			f.Learn(modelOrganisation, f.row)
			f.is.True(!f.fits(1))
			f.row.Version++
			f.Learn(modelOrganisation, f.row)
			f.is.True(f.fits(40))
		})
	})
}

func TestLowerLimit(t *testing.T) {
	granted := quota.Row{"a": {Epoch: 10, Granted: cores(50)}, "b": {Epoch: 3, Granted: cores(10)}}
	t.Run("nothing starts before a write has shown what the other pools have", func(t *testing.T) {
		withLedger(t, granted, func(f *fixture) {
			f.acquire(20)
			f.is.True(f.fits(10))
			f.setLimit(80, 1000)
			f.is.True(!f.fits(10))
			w, due := f.NextWrite(f.now)
			f.is.True(due)
			f.Reject(w, map[string]quota.VersionedRow{modelOrganisation: {Row: granted.With("b", quota.Entry{Granted: cores(40)}), Version: 6}})
			f.is.True(!f.fits(10)) // 50 and 40 are above 80
		})
	})
	t.Run("a pool gives its idle part back at once and starts again when there is room", func(t *testing.T) {
		withLedger(t, granted.With("b", quota.Entry{Granted: cores(40)}), func(f *fixture) {
			f.acquire(20)
			f.setLimit(80, 1000)
			f.is.Equal(f.store(), 1)
			f.assertStored(20, 20)
			f.want(10, 1)
			f.now = f.now.Add(50 * time.Millisecond)
			f.store()
			f.is.True(f.fits(10))
		})
	})
	t.Run("an organisation that leaves the configuration keeps its limit", func(t *testing.T) {
		withLedger(t, granted, func(f *fixture) {
			f.SetLimits(organisation.Directory{}, cores(1000), true, f.now)
			f.is.True(f.fits(50))
			f.is.True(!f.fits(51))
		})
	})
	t.Run("a limit that is new bounds only after all pools have claimed what they run", func(t *testing.T) {
		withLedger(t, nil, func(f *fixture) {
			f.setLimit(0, 1000)
			f.acquire(30)
			f.setLimit(100, 1000)
			f.want(10, 1)
			f.store()
			f.assertStored(30, 30)
			f.is.True(!f.fits(10))
			f.pass(time.Second)
			f.want(10, 1)
			f.store()
			f.is.True(f.fits(10))
		})
	})
}

func TestTakeover(t *testing.T) {
	inherited := quota.Row{"a": {Epoch: 7, Granted: cores(60)}}
	t.Run("nothing starts in an inherited grant before it is sealed", func(t *testing.T) {
		withLedger(t, inherited, func(f *fixture) {
			f.is.True(!f.fits(1))
			f.is.Equal(f.store(), 1)
			f.is.Equal(f.row.Row["a"].Epoch, uint64(10))
			f.is.True(f.fits(60))
		})
	})
	t.Run("what the predecessor may still start is reserved, less the adopted runs, also after their end", func(t *testing.T) {
		withLedger(t, inherited, func(f *fixture) {
			f.SetUnresolved(true)
			f.store()
			f.is.True(!f.fits(1))
			f.Adopt(modelOrganisation, cores(25))
			f.is.True(!f.fits(1))
			f.release(25)
			f.is.True(f.fits(25))
			f.is.True(!f.fits(26))
			f.SetUnresolved(false)
			f.is.True(f.fits(60))
		})
	})
	t.Run("more than the reserve needs a claim", func(t *testing.T) {
		withLedger(t, inherited, func(f *fixture) {
			f.SetUnresolved(true)
			f.store()
			f.pass(50 * time.Millisecond)
			f.want(30, 1)
			f.store()
			f.is.True(f.fits(30))
			f.assertStored(90, 100)
		})
	})
	t.Run("a holder that finds a later one starts nothing any more", func(t *testing.T) {
		withLedger(t, quota.Row{"a": {Epoch: 12, Granted: cores(60)}}, func(f *fixture) {
			f.is.True(f.Superseded())
			f.is.True(!f.fits(1))
		})
	})
}
