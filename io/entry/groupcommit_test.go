package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskincross/core/route"
	"siskincross/io/platform"
	"siskincross/io/standin"
)

// claimChanges returns the insertion of a claim and the later update that stores its response.
func claimChanges(t *testing.T, key, id string) (insert, answer *rowChange) {
	t.Helper()
	claim := route.Claim{State: route.ClaimClaimed, ID: id, Holder: "m1"}
	first, err := json.Marshal(claim)
	if err != nil {
		t.Fatal(err)
	}
	claim, err = claim.WithAnswer(route.StoredAnswer{Status: 200, Body: []byte("held"), Length: 4})
	if err != nil {
		t.Fatal(err)
	}
	second, err := json.Marshal(claim)
	if err != nil {
		t.Fatal(err)
	}
	return &rowChange{key: key, claim: id, insert: true, value: first}, &rowChange{key: key, claim: id, value: second}
}

// runCommitters runs the committers of several entry hosts on one table, in virtual time.
func runCommitters(t *testing.T, count int, delay time.Duration, test func(ctx context.Context, table *standin.Table, committers []*groupCommitter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		table := &standin.Table{}
		table.SetFaults(standin.TableFaults{Delay: delay})
		committers := make([]*groupCommitter, count)
		for i := range committers {
			committers[i] = newGroupCommitter(table.Service(), 100/float64(count))
			loops.Go(func() { committers[i].run(ctx) })
		}
		test(ctx, table, committers)
		cancel()
		loops.Wait()
	})
}

// TestGroupedCommits checks that claims don't exceed their share of the store's commits at any request rate, and
// prints the resulting latencies.
func TestGroupedCommits(t *testing.T) {
	const (
		hosts  = 7
		length = 10 * time.Second
		// storeShare is the number of commits per second that claims may use, of the several hundred that the store
		// accepts.
		storeShare = 100
	)
	t.Logf("%8s %10s %12s %10s %8s %8s", "keyed/s", "commits/s", "rows/commit", "reads/s", "p50", "p99")
	for _, rate := range []float64{50, 500, 2000} {
		runCommitters(t, hosts, 5*time.Millisecond, func(ctx context.Context, table *standin.Table, committers []*groupCommitter) {
			rng := rand.New(rand.NewPCG(1, 1))
			var mu sync.Mutex
			var waits []time.Duration
			var writers sync.WaitGroup
			for at, n := 0.0, 0; at < length.Seconds(); n++ {
				at += rng.ExpFloat64() / rate
				insert, answer := claimChanges(t, fmt.Sprintf("request/letting/%d", n), fmt.Sprint(n))
				g := committers[rng.IntN(hosts)]
				writers.Go(func() {
					time.Sleep(time.Duration(at * float64(time.Second)))
					begun := time.Now()
					err := errors.Join(g.write(ctx, insert), g.write(ctx, answer))
					mu.Lock()
					defer mu.Unlock()
					waits = append(waits, time.Since(begun)/2)
					if err != nil {
						t.Error(err)
					}
				})
			}
			begun := time.Now()
			writers.Wait()
			seconds := time.Since(begun).Seconds()
			counts := table.Counts()
			sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
			t.Logf("%8.0f %10.1f %12.1f %10.1f %8s %8s", rate, float64(counts.Commits)/seconds, float64(counts.RowWrites)/float64(counts.Commits),
				float64(counts.RowReads)/seconds, waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)*99/100].Round(time.Millisecond))
			is.New(t).Equal(counts.RowWrites, 2*len(waits))                                // each claim and each stored response
			is.New(t).True(float64(counts.Commits) <= storeShare*seconds+hosts*groupBurst) // within the claims' share of the store
		})
	}
}

func TestGroupDecidesEachChange(t *testing.T) {
	t.Run("one of two claims of a key succeeds, other changes of the batch are not blocked", func(t *testing.T) {
		runCommitters(t, 2, time.Millisecond, func(ctx context.Context, _ *standin.Table, committers []*groupCommitter) {
			is := is.New(t)
			first, _ := claimChanges(t, "request/letting/a", "1")
			is.NoErr(committers[0].write(ctx, first))
			second, _ := claimChanges(t, "request/letting/a", "2")
			other, _ := claimChanges(t, "request/letting/b", "3")
			results := make(chan error, 1)
			go func() { results <- committers[1].write(ctx, other) }()
			var taken keyClaimedError
			is.True(errors.As(committers[1].write(ctx, second), &taken))
			is.Equal(taken.claim.ID, "1")
			is.NoErr(<-results)
		})
	})
	t.Run("a row of another claim is not changed", func(t *testing.T) {
		runCommitters(t, 1, 0, func(ctx context.Context, _ *standin.Table, committers []*groupCommitter) {
			is := is.New(t)
			insert, _ := claimChanges(t, "request/letting/a", "1")
			is.NoErr(committers[0].write(ctx, insert))
			_, late := claimChanges(t, "request/letting/a", "2")
			is.Equal(committers[0].write(ctx, late), errNotOwned)
		})
	})
	t.Run("an outage after a lost answer leaves the outcome unknown", func(t *testing.T) {
		runCommitters(t, 1, 0, func(ctx context.Context, table *standin.Table, committers []*groupCommitter) {
			is := is.New(t)
			committers[0].table.Commit = func(context.Context, platform.Transaction) error {
				table.SetFaults(tableDown)
				return platform.ErrOutcomeUnknown{Service: "table"}
			}
			insert, _ := claimChanges(t, "request/letting/a", "1")
			is.True(errors.As(committers[0].write(ctx, insert), &platform.ErrOutcomeUnknown{}))
		})
	})
}
