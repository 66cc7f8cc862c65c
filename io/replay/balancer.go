package replay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// healthCheckInterval is the period of the balancer's health checks.
	healthCheckInterval = 100 * time.Millisecond
	// healthCheckTimeout limits one health check.
	healthCheckTimeout = 500 * time.Millisecond
)

// errNoEntryHost is returned while no entry host is healthy.
var errNoEntryHost = errors.New("balancer has no healthy entry host")

// acceptingCallers returns the running entry hosts that accept callers.
func (c *cluster) acceptingCallers() []*process {
	running := c.running()
	c.mu.Lock()
	defer c.mu.Unlock()
	return withCallerAddress(running)
}

// nextHealthy returns the entry host for the next call, round-robin over the healthy ones.
func (c *cluster) nextHealthy() (*process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.processes {
		c.lastPicked = (c.lastPicked + 1) % len(c.processes)
		if p := c.processes[c.lastPicked]; p.healthy {
			return p, nil
		}
	}
	return nil, errNoEntryHost
}

// runHealthChecks runs the balancer's health checks until ctx ends. A check opens a
// new connection and requests /health.
func (c *cluster) runHealthChecks(ctx context.Context) error {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var group sync.WaitGroup
		c.mu.Lock()
		processes := withCallerAddress(c.processes)
		c.mu.Unlock()
		for _, p := range processes {
			group.Go(func() {
				healthy := isHealthy(ctx, p.callerAddress)
				c.mu.Lock()
				p.healthy = healthy
				c.mu.Unlock()
			})
		}
		group.Wait()
	}
}

// withCallerAddress returns the entry hosts that have become ready, those that have stopped since included.
func withCallerAddress(processes []*process) []*process {
	var accepting []*process
	for _, p := range processes {
		if p.callerAddress != "" {
			accepting = append(accepting, p)
		}
	}
	return accepting
}

// healthClient opens a new connection for each check.
var healthClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func isHealthy(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return false
	}
	response, err := healthClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
