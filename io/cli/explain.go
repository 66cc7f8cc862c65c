package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"siskincross/core/event"
	"siskincross/io/fleet"
	"siskincross/io/timeline"
)

// Explanation is the output of the explain command: the state of a host or pool and the events that led to it.
type Explanation struct {
	// Facts are sentences about the current state.
	Facts []string `json:"facts"`
	// Events are the events of the host or pool, oldest first.
	Events []event.Event `json:"events"`
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "explains the state of a host or pool, with its events",
		Commands: []*cli.Command{
			{
				Name:      "host",
				Usage:     "explains a host's pool and state, and what it waits for",
				ArgsUsage: "HOST",
				Flags:     operatorFlags(),
				Action:    explainAction(explainHost, func(name string) timeline.Filter { return timeline.Filter{Host: name} }),
			},
			{
				Name:      "pool",
				Usage:     "explains what delays a pool's planned work",
				ArgsUsage: "ORGANISATION/POOL",
				Flags:     operatorFlags(),
				Action:    explainAction(explainPool, func(name string) timeline.Filter { return timeline.Filter{Pool: name} }),
			},
		},
	}
}

// explainAction returns the action that prints the facts about the named subject and its events.
func explainAction(facts func(fleet.Status, string) ([]string, error), filter func(string) timeline.Filter) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		name := cmd.Args().First()
		if name == "" {
			return exitErrorf(ExitUsage, "explain %s requires a name", cmd.Name)
		}
		client := operatorClient(cmd)
		status, err := client.Fleet(ctx)
		if err != nil {
			return operatorExitError(err)
		}
		var explanation Explanation
		if explanation.Facts, err = facts(status, name); err != nil {
			return err
		}
		if explanation.Events, err = client.Timeline(ctx, filter(name)); err != nil {
			return operatorExitError(err)
		}
		return printValue(cmd, explanation, func(w io.Writer) error { return writeExplanation(w, explanation) })
	}
}

// explainHost returns the facts about the host with a name and about its pool.
func explainHost(s fleet.Status, name string) ([]string, error) {
	for _, p := range s.Pools {
		for _, h := range p.Hosts {
			if string(h.ID) == name {
				return append(hostFacts(p, h), poolFacts(p)...), nil
			}
		}
	}
	return nil, exitErrorf(ExitFailure, "no pool has a host %q", name)
}

func hostFacts(p fleet.PoolStatus, h fleet.HostStatus) []string {
	facts := []string{
		fmt.Sprintf("%s is in pool %s, with generation %d, and is %s.", h.ID, p.Name, h.Generation, h.State),
		fmt.Sprintf("It is in zone %s, rack %s.", h.Place.Zone, h.Place.Rack),
	}
	if h.Reason != "" {
		facts = append(facts, "Reason: "+h.Reason+".")
	}
	if h.WaitsFor != "" {
		facts = append(facts, "It waits for: "+h.WaitsFor+".")
	}
	return append(facts, "Its next maintenance may start at "+h.MaintenanceDue.UTC().Format(time.RFC3339)+".")
}

// explainPool returns the facts about the pool with a name.
func explainPool(s fleet.Status, name string) ([]string, error) {
	for _, p := range s.Pools {
		if p.Name == name {
			return poolFacts(p), nil
		}
	}
	return nil, exitErrorf(ExitFailure, "there is no pool %q", name)
}

func poolFacts(p fleet.PoolStatus) []string {
	d := p.Disruptions
	facts := []string{
		fmt.Sprintf("Pool %s has %d hosts; %d of a budget of %d are unavailable: %d failed, %d leaving, %d planned.",
			p.Name, len(p.Hosts), d.Total(), p.Limits.MaxUnavailable, d.Failed, d.Leaving, d.Planned),
		fmt.Sprintf("Its duty is held by %s in epoch %d.", p.Holder, p.Epoch),
	}
	if p.WorkWaitsFor != "" {
		facts = append(facts, "Planned work waits for: "+p.WorkWaitsFor+".")
	}
	if p.Behind {
		facts = append(facts, "Its maintenance is forecast to miss its deadline.")
	}
	return facts
}

func writeExplanation(w io.Writer, e Explanation) error {
	for _, fact := range e.Facts {
		fmt.Fprintln(w, fact)
	}
	fmt.Fprintln(w)
	return writeEvents(w, e.Events)
}
