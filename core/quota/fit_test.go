package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/core/organisation"
	"siskincross/core/quota"
	"siskincross/core/resource"
)

// fitCase is what an organisation has running in some pools, and what then waits in another one.
type fitCase struct {
	pools, limit int
	// lasting holds the sizes of the tasks that last, by pool, and busy those of the tasks that follow each other without a pause.
	lasting, busy map[int][]int
	// demand is what waits, a task or a whole gang, in the pool at.
	demand, at int
}

// drawFitCase draws a case in which what waits fits within the limit beside all that runs.
func drawFitCase(r *rand.Rand) fitCase {
	c := fitCase{pools: 2 + r.IntN(4), limit: 4000 + r.IntN(60)*1000, lasting: make(map[int][]int), busy: make(map[int][]int)}
	free := c.limit
	for range 1 + r.IntN(6) {
		size := 100 + r.IntN(c.limit/4)
		if free < size+c.limit/8 {
			break
		}
		free -= size
		pool := r.IntN(c.pools)
		if r.IntN(3) == 0 {
			c.busy[pool] = append(c.busy[pool], size)
			continue
		}
		c.lasting[pool] = append(c.lasting[pool], size)
	}
	c.at, c.demand = r.IntN(c.pools), free-r.IntN(min(free/2, 300))
	return c
}

// fits reports whether what waits starts within the given time after all else runs.
func (c fitCase) fits(seed uint64, limit time.Duration) bool {
	s := &loadSite{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), rows: make(map[string]quota.VersionedRow)}
	directory := organisation.NewDirectory([]organisation.Organisation{{Name: "o", Limit: cores(c.limit)}})
	for i := range c.pools {
		p := &loadPool{ledger: quota.Ledger{Pool: fmt.Sprintf("p%d", i), Epoch: 1}, ends: make(map[time.Time][]loadTask)}
		p.ledger.SetLimits(directory, resource.Amount{}, false, s.now)
		p.ledger.Load(nil)
		for _, size := range c.lasting[i] {
			p.waiting = append(p.waiting, loadTask{"o", cores(size), true})
		}
		for _, size := range c.busy[i] {
			p.waiting = append(p.waiting, loadTask{"o", cores(size), false})
		}
		s.pools = append(s.pools, p)
	}
	const settled = 8 * time.Second
	s.run(settled)
	at := s.pools[c.at]
	waiting := loadTask{"o", cores(c.demand), true}
	at.waiting = append(at.waiting, waiting)
	for range limit / loadRound {
		s.run(loadRound)
		started := true
		for _, t := range at.waiting {
			started = started && t != waiting
		}
		if started {
			return true
		}
	}
	return false
}

// run lets time pass. Each task that ends is followed by one like it.
func (s *loadSite) run(d time.Duration) {
	for range d / loadRound {
		s.now = s.now.Add(loadRound)
		s.announce()
		for _, p := range s.pools {
			p.waiting = append(p.waiting, p.ends[s.now]...)
			s.round(p)
		}
	}
}

// TestWhatFitsStarts guards against a task or a gang that waits for good, though it fits within the limit of its organisation beside all
// that runs, because other pools keep idle room.
func TestWhatFitsStarts(t *testing.T) {
	const (
		cases = 400
		limit = 2 * time.Second
	)
	drawn := []fitCase{
		{pools: 2, limit: 14_000, lasting: map[int][]int{0: {3000, 3000}}, demand: 6700, at: 1},
		{pools: 2, limit: 14_000, lasting: map[int][]int{0: {3000, 3000}}, demand: 7500, at: 1},
	}
	for seed := range uint64(cases) {
		drawn = append(drawn, drawFitCase(rand.New(rand.NewPCG(seed, 2))))
	}
	failed := 0
	for i, c := range drawn {
		if !c.fits(uint64(i), limit) {
			failed++
			t.Logf("case %d: %+v", i, c)
		}
	}
	is.New(t).Equal(failed, 0)
}
