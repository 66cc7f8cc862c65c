package rollout

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskincross/core/config"
)

// fixture returns the template and parameters of a deployment.
func fixture(t testing.TB, deployment, organisation string) config.Source {
	t.Helper()
	read := func(name string) string {
		content, err := os.ReadFile(filepath.Join("..", "..", "_fixtures", deployment, name))
		if err != nil {
			t.Fatal(err)
		}
		return string(content)
	}
	return config.Source{Organisation: organisation, Template: read("template.toml"), Parameters: read("parameters.toml")}
}

func assertHosts(t *testing.T, e config.Expanded, want map[string]int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(e.Pools), len(want))
	for _, p := range e.Pools {
		_, short, _ := strings.Cut(p.Name, "/")
		is.Equal(p.Hosts, want[short])
	}
}

func TestDeployments(t *testing.T) {
	t.Run("Mauritius weighs the buffer most", func(t *testing.T) {
		is := is.New(t)
		e, err := fixture(t, "mauritius", "boutiques-ephemeres").Expand()
		is.NoErr(err)
		assertHosts(t, e, map[string]int{"northern-coast": 8, "port-louis": 9, "southern-coast": 11, "grand-baie": 12, "member-accounts": 8})
		spare, _ := e.Pool("boutiques-ephemeres/member-accounts")
		is.True(spare.Spare)
		is.True(spare.BufferWeight > spare.MoveWeight)
		q, ok := e.Queue("boutiques-ephemeres/grand-baie-quotes")
		is.True(ok && q.Urgent)
		is.Equal(q.Pool, "boutiques-ephemeres/grand-baie")
	})
	t.Run("Uusimaa weighs moves most", func(t *testing.T) {
		is := is.New(t)
		e, err := fixture(t, "uusimaa", "kuntavoima").Expand()
		is.NoErr(err)
		assertHosts(t, e, map[string]int{"learner-quiz": 9, "lesson-media": 9, "practical-feedback": 11, "simulation-audit": 12, "administration": 8})
		spare, _ := e.Pool("kuntavoima/administration")
		is.True(spare.Spare)
		is.True(spare.MoveWeight > spare.BufferWeight)
		team, _ := e.Team("kuntavoima/lesson-rendering")
		is.Equal(team.Slots, 24) // the default
	})
}
