package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"siskincross/core/host"
	"siskincross/io/fleet"
	"siskincross/io/operator"
)

func poolsCommand() *cli.Command {
	return &cli.Command{
		Name:   "pools",
		Usage:  "lists the pools and their availability budgets",
		Flags:  operatorFlags(),
		Action: queryAction(fleetStatus, writePools),
	}
}

func hostsCommand() *cli.Command {
	return &cli.Command{
		Name:   "hosts",
		Usage:  "lists the hosts by pool and state",
		Flags:  operatorFlags(),
		Action: queryAction(fleetStatus, writeHosts),
	}
}

func fleetStatus(ctx context.Context, client operator.Client) (fleet.Status, error) {
	return client.Fleet(ctx)
}

func writePools(w io.Writer, s fleet.Status) error {
	t := newTable(w, "pool", "hosts", "serving", "unavailable", "budget", "headroom", "planned work waits for", "holder")
	for _, p := range s.Pools {
		t.AppendRow([]any{
			p.Name, len(p.Hosts), countServing(p), p.Disruptions.Total(), p.Limits.MaxUnavailable, p.Headroom, p.WorkWaitsFor, p.Holder,
		})
	}
	t.Render()
	return writeListDoubt(w, s)
}

// writeListDoubt prints why the platform's host list is not trusted, if that is so.
func writeListDoubt(w io.Writer, s fleet.Status) error {
	if s.ListDistrustReason == "" {
		return nil
	}
	_, err := fmt.Fprintf(w, "the platform's list of hosts is not trusted: %s\n", s.ListDistrustReason)
	return err
}

// countServing returns the number of the pool's hosts that are serving.
func countServing(p fleet.PoolStatus) int {
	count := 0
	for _, h := range p.Hosts {
		if h.State == host.Serving {
			count++
		}
	}
	return count
}

func writeHosts(w io.Writer, s fleet.Status) error {
	t := newTable(w, "host", "pool", "zone", "rack", "state", "work", "waits for")
	for _, p := range s.Pools {
		for _, h := range p.Hosts {
			t.AppendRow([]any{h.ID, p.Name, h.Place.Zone, h.Place.Rack, h.State, h.Work.Purpose, h.WaitsFor})
		}
	}
	t.Render()
	return writeListDoubt(w, s)
}
