package config

import "fmt"

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=EffectKind -transform=kebab -text -json -trimprefix=Effect -output=plan_enumer.go

// EffectKind is the kind of an effect of a change.
type EffectKind int

// Kinds of effects.
const (
	// EffectMove means that hosts leave or join a pool.
	EffectMove EffectKind = iota
	// EffectBudget means that an availability budget becomes tighter.
	EffectBudget
	// EffectCapacity means that the deployment needs more hosts than before, or fewer.
	EffectCapacity
	// EffectRemoval means that a pool, queue or team that callers may still use is removed.
	EffectRemoval
)

// Effect is a consequence of a change that operators should know before they apply it.
type Effect struct {
	Kind EffectKind `json:"kind"`
	// Subject is the full name of the pool, queue or team; empty for the whole organisation.
	Subject string `json:"subject,omitempty"`
	Text    string `json:"text"`
}

// Plan describes the effects of a change to the configuration of one organisation.
type Plan struct {
	Organisation string `json:"organisation"`
	// From is the version of the organisation's configuration that the change applies to.
	From        Version      `json:"from"`
	Differences []Difference `json:"differences"`
	// Moves is the number of hosts that move to another pool.
	Moves   int      `json:"moves"`
	Effects []Effect `json:"effects"`
}

// NewPlan compares the configuration of an organisation with its replacement.
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
	p.Effects = append(p.Effects, removalEffects(before, after)...)
	return p
}

// poolEffects returns the effects of a change to one pool. A new pool has a zero old value.
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

// capacityEffects returns the effect of a change of the total number of hosts.
func capacityEffects(missing int) []Effect {
	switch {
	case missing > 0:
		return []Effect{{Kind: EffectCapacity, Text: fmt.Sprintf("%d hosts more than before are needed from the platform", missing)}}
	case missing < 0:
		return []Effect{{Kind: EffectCapacity, Text: fmt.Sprintf("%d hosts are no longer claimed by any pool", -missing)}}
	}
	return nil
}

// removalEffects returns the effects of removed queues and teams.
func removalEffects(before, after Expanded) []Effect {
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
