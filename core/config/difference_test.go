package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// expandWith returns the expanded test configuration after textual replacements in its parameters.
func expandWith(t *testing.T, changes ...string) Expanded {
	t.Helper()
	source := testSource()
	source.Parameters = strings.NewReplacer(changes...).Replace(source.Parameters)
	e, err := source.Expand()
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestPlan(t *testing.T) {
	const org = "boutiques-ephemeres"
	before := expandWith(t)
	t.Run("no change has no differences and no effects", func(t *testing.T) {
		is := is.New(t)
		p := NewPlan(org, 1, before, before)
		is.Equal(len(p.Differences)+len(p.Effects)+p.Moves, 0)
	})
	t.Run("a host from one pool to another is one move", func(t *testing.T) {
		is := is.New(t)
		p := NewPlan(org, 1, before, expandWith(t, "port-louis-hosts = 9", "port-louis-hosts = 10", "grand-baie-hosts = 12", "grand-baie-hosts = 11"))
		is.Equal(p.Moves, 1)
		is.Equal(len(p.Differences), 2)
		is.Equal(p.Differences[0], Difference{Path: "pools.boutiques-ephemeres/grand-baie.hosts", Before: "12", After: "11"})
		is.Equal(p.Differences[1].String(), "~ pools.boutiques-ephemeres/port-louis.hosts: 9 -> 10")
	})
	t.Run("more hosts than before must come from the platform", func(t *testing.T) {
		is := is.New(t)
		p := NewPlan(org, 1, before, expandWith(t, "port-louis-hosts = 9", "port-louis-hosts = 12"))
		is.Equal(p.Moves, 0)
		is.Equal(p.Effects[len(p.Effects)-1], Effect{Kind: EffectCapacity, Text: "3 hosts more than before are needed from the platform"})
	})
	t.Run("a tighter budget is reported for each affected pool", func(t *testing.T) {
		is := is.New(t)
		p := NewPlan(org, 1, before, expandWith(t, "max-unavailable = 2", "max-unavailable = 1"))
		budgets := 0
		for _, effect := range p.Effects {
			if effect.Kind == EffectBudget {
				budgets++
			}
		}
		is.Equal(budgets, 2) // the third pool does not use the parameter
	})
	t.Run("removed pools, queues and teams are named", func(t *testing.T) {
		is := is.New(t)
		p := NewPlan(org, 1, before, Expanded{})
		removed := map[string]bool{}
		for _, effect := range p.Effects {
			removed[effect.Subject] = effect.Kind == EffectRemoval
		}
		is.True(removed[org+"/port-louis"])
		is.True(removed[org+"/keys"])
		is.True(removed[org+"/council-notices"])
	})
}

func TestWithOrganisation(t *testing.T) {
	t.Run("a change to one organisation does not affect the others", func(t *testing.T) {
		is := is.New(t)
		uusimaa := Expanded{Pools: []Pool{{Name: "kuntavoima/learner-quiz", Organisation: "kuntavoima", Hosts: 9}}}
		both := Expanded{}.WithOrganisation("kuntavoima", uusimaa).WithOrganisation("boutiques-ephemeres", expandWith(t))
		changed := both.WithOrganisation("boutiques-ephemeres", expandWith(t, "port-louis-hosts = 9", "port-louis-hosts = 10"))
		is.Equal(len(Differences(both, changed)), 1)
		is.Equal(len(Differences(changed.ForOrganisation("kuntavoima"), uusimaa)), 0)
		is.Equal(len(both.Pools), 4)
		is.Equal(len(both.WithOrganisation("kuntavoima", Expanded{}).Pools), 3)
	})
}
