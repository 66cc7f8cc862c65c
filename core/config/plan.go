package config

import "fmt"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=EffectKind -transform=kebab -text -json -trimprefix=Effect -output=plan_enumer.go

// EffectKind classifies what a change would do.
type EffectKind int

// Kinds of effects.
const (
	// EffectMove is hosts that leave or join a pool.
	EffectMove EffectKind = iota
	// EffectBudget is an availability budget that gets tighter.
	EffectBudget
	// EffectCapacity is hosts that the deployment doesn't have yet, or no longer needs.
	EffectCapacity
	// EffectRemoval is a pool, queue or team that callers may still use.
	EffectRemoval
)

// Effect is one consequence of a change that operators should know before they apply it.
type Effect struct {
	Kind EffectKind `json:"kind"`
	// Subject is the full name of the pool, queue or team; empty for the whole organisation.
	Subject string `json:"subject,omitempty"`
	Text    string `json:"text"`
}

// Plan tells what a change of one organisation's configuration would do.
type Plan struct {
	Organisation string `json:"organisation"`
	// From is the organisation's version that the plan was made from.
	From        Version      `json:"from"`
	Differences []Difference `json:"differences"`
	// Moves is the number of hosts that change pools.
	Moves   int      `json:"moves"`
	Effects []Effect `json:"effects"`
}

// NewPlan compares an organisation's configuration with the one that would replace it.
func NewPlan(organisation string, from Version, before, after Expanded) Plan {
	p := Plan{Organisation: organisation, From: from, Differences: Differences(before, after)}
	joining, leaving := 0, 0
	for _, pool := range after.Pools {
		old, _ := before.Pool(pool.Name)
		p.Effects = append(p.Effects, poolEffects(old, pool)...)
		joining += max(0, pool.Hosts-old.Hosts)
		leaving += max(0, old.Hosts-pool.Hosts)
	}
	for _, pool := range before.Pools {
		if _, ok := after.Pool(pool.Name); !ok {
			leaving += pool.Hosts
			p.Effects = append(p.Effects, Effect{EffectRemoval, pool.Name, fmt.Sprintf("the pool is removed once its %d hosts are drained", pool.Hosts)})
		}
	}
	p.Moves = min(joining, leaving)
	p.Effects = append(p.Effects, capacityEffects(joining-leaving)...)
	p.Effects = append(p.Effects, removals(before, after)...)
	return p
}

func poolEffects(old, pool Pool) []Effect {
	var effects []Effect
	if d := pool.Hosts - old.Hosts; d > 0 {
		effects = append(effects, Effect{EffectMove, pool.Name, fmt.Sprintf("%d hosts join", d)})
	} else if d < 0 {
		effects = append(effects, Effect{EffectMove, pool.Name, fmt.Sprintf("%d hosts drain and leave", -d)})
	}
	if old.Name == "" {
		return effects
	}
	if pool.MaxUnavailable < old.MaxUnavailable {
		effects = append(effects, Effect{EffectBudget, pool.Name, fmt.Sprintf(
			"the budget falls from %d to %d: planned work waits while more than that are unavailable", old.MaxUnavailable, pool.MaxUnavailable)})
	}
	if pool.Hosts < old.Hosts && pool.Hosts-pool.MaxUnavailable < old.MinHosts-old.MaxUnavailable {
		effects = append(effects, Effect{EffectBudget, pool.Name, fmt.Sprintf(
			"with its budget used up the pool serves with %d hosts; the old minimum left %d", pool.Hosts-pool.MaxUnavailable, old.MinHosts-old.MaxUnavailable)})
	}
	return effects
}

func capacityEffects(missing int) []Effect {
	switch {
	case missing > 0:
		return []Effect{{Kind: EffectCapacity, Text: fmt.Sprintf("%d hosts more than before are needed from the platform", missing)}}
	case missing < 0:
		return []Effect{{Kind: EffectCapacity, Text: fmt.Sprintf("%d hosts are no longer claimed by any pool", -missing)}}
	}
	return nil
}

func removals(before, after Expanded) []Effect {
	var effects []Effect
	for _, q := range before.Queues {
		if _, ok := after.Queue(q.Name); !ok {
			effects = append(effects, Effect{EffectRemoval, q.Name, "requests to the queue will be refused"})
		}
	}
	for _, t := range before.Teams {
		if _, ok := after.Team(t.Name); !ok {
			effects = append(effects, Effect{EffectRemoval, t.Name, "the team loses its guaranteed slots"})
		}
	}
	return effects
}
