package replay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"siskincross/io/node"
	"siskincross/io/platform"
	"siskincross/io/settings"
)

const (
	// deployment names the deployment of a replay.
	deployment = "replay"
	// loopback is a free port of the loopback address.
	loopback = "127.0.0.1:0"
	// startTimeout bounds the start of an entry host.
	startTimeout = 20 * time.Second
)

// errEndedEarly is returned when an entry host ended before it was ready.
var errEndedEarly = errors.New("the entry host ended before it was ready")

// startNode starts an entry host of the real code in this process.
func startNode(ctx context.Context, spec EntryHostSpec) (EntryHost, error) {
	return startNodeOn(ctx, spec, platform.NewHTTP(spec.Platform, &http.Client{Transport: &http.Transport{}}))
}

// startNodeOn is startNode with the entry host's platform.
func startNodeOn(ctx context.Context, spec EntryHostSpec, p platform.Platform) (EntryHost, error) {
	n, err := node.New(spec.settings(), p)
	if err != nil {
		return EntryHost{}, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := n.Start(ctx)
	select {
	case <-n.Ready():
	case err := <-ended:
		cancel()
		return EntryHost{}, errors.Join(errEndedEarly, err)
	case <-time.After(startTimeout):
		cancel()
		return EntryHost{}, fmt.Errorf("the entry host is not ready after %s", startTimeout)
	}
	addresses := n.Addresses()
	return EntryHost{
		Callers: addresses.Callers, Operators: addresses.Operators, Peers: addresses.Peers,
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
		{&s.Periods.TaskLease, spec.Settings.TaskLease},
		{&s.Periods.Maintenance, spec.Settings.Maintenance},
		{&s.Periods.Linger, spec.Settings.Linger},
	} {
		if period.stated > 0 {
			*period.setting = settings.Duration(period.stated)
		}
	}
	return s
}
