package replay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"siskincross/core/config"
	"siskincross/io/node"
	"siskincross/io/operator"
	"siskincross/io/platform"
	"siskincross/io/settings"
)

const (
	// deployment is the name of the deployment in a replay.
	deployment = "replay"
	// loopbackAddress makes the kernel choose a free port on the loopback interface.
	loopbackAddress = "127.0.0.1:0"
)

// errExitedEarly is returned when an entry host ends before it is ready.
var errExitedEarly = errors.New("entry host ended before it was ready")

// startNode starts a complete entry host in this process.
func startNode(ctx context.Context, spec EntryHostSpec) (EntryHost, error) {
	n := node.New(spec.settings(), platform.NewHTTPClient(spec.PlatformAddress, nil))
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := n.Start(ctx)
	select {
	case <-n.Listening():
	case err := <-ended:
		cancel()
		return EntryHost{}, errors.Join(errExitedEarly, err)
	}
	addresses := n.Addresses()
	return EntryHost{
		OperatorAddress: addresses.Operators, PeerAddress: addresses.Peers,
		Ready: func(ctx context.Context) (string, error) {
			select {
			case <-n.Ready():
				return n.Addresses().Callers, nil
			case <-ctx.Done():
				return "", ctx.Err()
			}
		},
		Stop: func(ctx context.Context) error {
			cancel()
			select {
			case err := <-ended:
				return err
			case <-ctx.Done():
				return ctx.Err()
			}
		},
		Kill: func() {
			n.Kill()
			cancel()
		},
	}, nil
}

// settings returns the settings of an entry host, with the periods that the trace states.
func (spec EntryHostSpec) settings() settings.Settings {
	s := settings.Default()
	s.Deployment = deployment
	s.Name = fmt.Sprintf("entry-%d-%d", spec.Index, spec.Incarnation)
	s.Zone = spec.Zone
	s.Callers.Listen = loopbackAddress
	s.Operators.Listen = loopbackAddress
	s.Peers.Listen = loopbackAddress
	s.Peers.Seeds = spec.PeerSeeds
	s.Platform.Address = spec.PlatformAddress
	s.Logs.Level = "error"
	for _, period := range []struct {
		setting *settings.Duration
		value   time.Duration
	}{
		{&s.Periods.Heartbeat, spec.Settings.Heartbeat},
		{&s.Periods.Lapse, spec.Settings.Lapse},
		{&s.Periods.Plan, spec.Settings.Plan},
		{&s.Periods.Poll, spec.Settings.Poll},
		{&s.Periods.Vouch, spec.Settings.Vouch},
		{&s.Periods.CoolDown, spec.Settings.CoolDown},
		{&s.Periods.Maintenance, spec.Settings.Maintenance},
		{&s.Periods.Linger, spec.Settings.Linger},
	} {
		if period.value > 0 {
			*period.setting = settings.Duration(period.value)
		}
	}
	return s
}

// newOperatorClient returns a client of the operators' HTTP API.
func newOperatorClient(client *http.Client) OperatorClient {
	return OperatorClient{
		CurrentVersion: func(ctx context.Context, address, organisation string) (uint64, error) {
			history, err := operator.Client{Address: address, HTTP: client}.History(ctx, organisation)
			if err != nil || len(history) == 0 {
				return 0, err
			}
			return uint64(history[0].Version), nil
		},
		Apply: func(ctx context.Context, address string, p Proposal) ApplyResult {
			_, err := operator.Client{Address: address, HTTP: client}.Apply(ctx, operator.Change{
				ID: p.ID, Organisation: p.Organisation, Template: p.Template, Parameters: p.Parameters, From: config.Version(p.BaseVersion),
			})
			return applyResult(err)
		},
	}
}

// applyResult returns the result of a change that the HTTP API answered with err.
func applyResult(err error) ApplyResult {
	var problem operator.ErrProblem
	switch {
	case err == nil:
		return ApplyResult{Accepted: true}
	case errors.As(err, &problem) && problem.Problem.Status == http.StatusConflict:
		return ApplyResult{Conflict: true, Error: err.Error()}
	}
	return ApplyResult{Error: err.Error()}
}

// queuePools expands a template and returns the pool of each queue.
func queuePools(organisation, template, parameters string) (map[string]string, error) {
	source := config.Source{Organisation: organisation, Template: template, Parameters: parameters}
	expanded, err := source.Expand()
	if err != nil {
		return nil, err
	}
	pools := make(map[string]string)
	for _, q := range expanded.Queues {
		pools[q.Name] = q.Pool
	}
	return pools, nil
}
