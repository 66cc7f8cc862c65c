package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskincross/core/config"
	"siskincross/core/host"
)

// quotaTeams returns n teams that are guaranteed the same number of slots each.
func quotaTeams(n, slots int) []config.Team {
	teams := make([]config.Team, n)
	for i := range teams {
		teams[i] = config.Team{Name: fmt.Sprintf("kunta/team-%03d", i), Weight: 1 + i%3, Slots: slots}
	}
	return teams
}

func (b *simulation) running(team string) int {
	return b.s.backlog.ensureTeam("kunta/" + team).running
}

func TestQuotasOfManyTeams(t *testing.T) {
	const teams, guarantee, workers = 110, 5, 96
	b := newSimulation(t, workers)
	b.behaviour = func(_ host.ID, _ Job) behaviour { return behaviour{duration: time.Hour, cores: 1, memory: gigabyte} }
	b.s.SetTeams(quotaTeams(teams, guarantee), 1)

	b.submit(workers*8, testSpec("team-000", "video"))
	b.run(4 * time.Minute)
	lent := b.running("team-000")
	t.Logf("one team alone holds %d of %d slots", lent, workers*6)
	if lent < workers*5 {
		t.Errorf("idle slots were not lent: %d of %d", lent, workers*6)
	}

	for i := 1; i < teams; i++ {
		b.submit(2*guarantee, testSpec(fmt.Sprintf("team-%03d", i), "video"))
	}
	begin := b.now
	histogram := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	have := make(map[int]bool)
	for len(have) < teams && b.now.Sub(begin) < 10*time.Minute {
		b.runRound()
		for i := range teams {
			if !have[i] && b.running(fmt.Sprintf("team-%03d", i)) >= guarantee {
				have[i] = true
				b.is.NoErr(histogram.RecordValue(b.now.Sub(begin).Milliseconds()))
			}
		}
	}
	t.Logf("guarantee reached by %d teams: p50 %v p99 %v max %v, stops %d", len(have),
		millis(histogram.ValueAtQuantile(50)), millis(histogram.ValueAtQuantile(99)), millis(histogram.Max()), b.stops)
	b.is.Equal(len(have), teams)
	b.is.True(b.stops <= lent)
}

func TestFairSharesFollowWeights(t *testing.T) {
	b := newSimulation(t, 12)
	b.behaviour = func(_ host.ID, _ Job) behaviour {
		return behaviour{duration: 30 * time.Second, cores: 1, memory: gigabyte}
	}
	b.s.SetTeams([]config.Team{{Name: "kunta/a", Weight: 1}, {Name: "kunta/b", Weight: 3}}, 1)
	b.submit(2000, testSpec("a", "video"))
	b.submit(2000, testSpec("b", "video"))
	b.run(5 * time.Minute)
	ratio := float64(b.running("b")) / float64(b.running("a"))
	t.Logf("shares of weights 1 and 3: %d and %d", b.running("a"), b.running("b"))
	b.is.True(ratio > 2.5 && ratio < 3.5)
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
