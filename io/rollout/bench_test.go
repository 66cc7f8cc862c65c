package rollout

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"siskincross/core/config"
	"siskincross/io/standin"
)

// Planned sizes in two years.
const (
	plannedPools = 49
	plannedTeams = 110
	poolHosts    = 55
	poolsPerOrg  = 7
)

// plannedSource returns the source of one of the organisations that together have the
// planned number of pools and teams.
func plannedSource(organisation string) config.Source {
	var template strings.Builder
	template.WriteString("name = \"planned\"\n")
	for i := range poolsPerOrg {
		fmt.Fprintf(&template, "[pools.pool-%02d]\nhosts = %d\nmin-hosts = 40\nmax-unavailable = 4\n", i, poolHosts)
		for _, queue := range []string{"quotes", "deposits", "notices"} {
			fmt.Fprintf(&template, "[queues.pool-%02d-%s]\npool = \"pool-%02d\"\nmax-queued = 400\ndeadline = \"10s\"\n", i, queue, i)
		}
	}
	for i := range plannedTeams * poolsPerOrg / plannedPools {
		fmt.Fprintf(&template, "[teams.team-%03d]\nweight = %d\nslots = 16\n", i, i+1)
	}
	return config.Source{
		Organisation: organisation,
		Template:     template.String(),
		Parameters:   fmt.Sprintf("organisation = %q\ntemplate = \"planned\"\n", organisation),
	}
}

// plannedConfiguration returns an expanded configuration of the planned size.
func plannedConfiguration(b *testing.B) config.Expanded {
	b.Helper()
	var e config.Expanded
	for i := range plannedPools / poolsPerOrg {
		organisation := fmt.Sprintf("org-%d", i)
		part, err := plannedSource(organisation).Expand()
		if err != nil {
			b.Fatal(err)
		}
		e = e.WithOrganisation(organisation, part)
	}
	return e.WithVersion(1)
}

// BenchmarkApply applies changes to a configuration of the planned size, from parsing to
// commit.
func BenchmarkApply(b *testing.B) {
	var table standin.Table
	var objects standin.Objects
	m := &Manager{Table: table.Service(), Objects: objects.Service(), Member: "a"}
	ctx, cancel := context.WithCancel(context.Background())
	done := m.Start(ctx)
	from := make([]config.Version, plannedPools/poolsPerOrg)
	apply := func(i int) {
		s := plannedSource(fmt.Sprintf("org-%d", i))
		change := Change{Organisation: s.Organisation, Template: s.Template, Parameters: s.Parameters, From: from[i]}
		accepted, err := m.Apply(ctx, change)
		if err != nil {
			b.Fatal(err)
		}
		from[i] = accepted.Version
	}
	for i := range from {
		apply(i)
	}
	b.ResetTimer()
	for i := range b.N {
		apply(i % len(from))
	}
	b.StopTimer()
	cancel()
	if err := <-done; err != nil {
		b.Error(err)
	}
}

// BenchmarkReceive decodes a pushed configuration of the planned size and reports the size
// of the push.
func BenchmarkReceive(b *testing.B) {
	e := plannedConfiguration(b)
	content, err := marshalCompressed(e)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(content)), "B/push")
	for range b.N {
		var received config.Expanded
		if err := unmarshalCompressed(content, &received); err != nil {
			b.Fatal(err)
		}
	}
}
