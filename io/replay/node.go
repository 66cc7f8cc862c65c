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
	// deployment names the deployment of a replay.
	deployment = "replay"
	// loopback is a free port of the loopback address.
	loopback = "127.0.0.1:0"
)

// errEndedEarly is returned when an entry host ended before it was ready.
var errEndedEarly = errors.New("the entry host ended before it was ready")

// startNode starts an entry host of the real code in this process.
func startNode(ctx context.Context, spec EntryHostSpec) (EntryHost, error) {
	n := node.New(spec.settings(), platform.NewHTTPClient(spec.Platform, nil))
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := n.Start(ctx)
	select {
	case <-n.Listening():
	case err := <-ended:
		cancel()
		return EntryHost{}, errors.Join(errEndedEarly, err)
	}
	addresses := n.Addresses()
	return EntryHost{
		Operators: addresses.Operators, Peers: addresses.Peers,
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

// settings returns the settings of an entry host.
func (spec EntryHostSpec) settings() settings.Settings {
	s := settings.Default()
	s.Deployment = deployment
	s.Name = fmt.Sprintf("entry-%d-%d", spec.Index, spec.Incarnation)
	s.Zone = spec.Zone
	s.Callers.Listen = loopback
	s.Operators.Listen = loopback
	s.Peers.Listen = loopback
	s.Peers.Seeds = spec.Seeds
	s.Platform.Address = spec.Platform
	s.Logs.Level = "error"
	for _, period := range []struct {
		setting *settings.Duration
		stated  time.Duration
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
		if period.stated > 0 {
			*period.setting = settings.Duration(period.stated)
		}
	}
	return s
}

// newOperatorClient returns the client of the operators' HTTP API.
func newOperatorClient(client *http.Client) OperatorClient {
	return OperatorClient{
		Head: func(ctx context.Context, address, organisation string) (uint64, error) {
			history, err := operator.Client{Address: address, HTTP: client}.History(ctx, organisation)
			if err != nil || len(history) == 0 {
				return 0, err
			}
			return uint64(history[0].Version), nil
		},
		Apply: func(ctx context.Context, address string, p Proposal) Applied {
			_, err := operator.Client{Address: address, HTTP: client}.Apply(ctx, operator.Change{
				ID: p.ID, Organisation: p.Organisation, Template: p.Template, Parameters: p.Parameters, From: config.Version(p.Base),
			})
			return appliedOf(err)
		},
	}
}

func appliedOf(err error) Applied {
	var problem operator.ErrProblem
	switch {
	case err == nil:
		return Applied{Accepted: true}
	case errors.As(err, &problem) && problem.Problem.Status == http.StatusConflict:
		return Applied{Conflict: true, Error: err.Error()}
	}
	return Applied{Error: err.Error()}
}

// queuesOf returns the pool of each queue that the real code expands.
func queuesOf(organisation, template, parameters string) (map[string]string, error) {
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
