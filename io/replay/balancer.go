package replay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// checkInterval is the period of the balancer's health checks.
	checkInterval = 100 * time.Millisecond
	// checkTimeout bounds one health check.
	checkTimeout = 500 * time.Millisecond
)

// errNoEntryHost is returned to callers while no entry host is healthy.
var errNoEntryHost = errors.New("the balancer knows no healthy entry host")

// accepting returns the entry hosts that run, are not stopping and accept callers.
func (c *cluster) accepting() []*process {
	running := c.running()
	c.mu.Lock()
	defer c.mu.Unlock()
	return ready(running)
}

// pick returns the entry host for the next caller, in turn over the healthy ones.
func (c *cluster) pick() (*process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.processes {
		c.next = (c.next + 1) % len(c.processes)
		if p := c.processes[c.next]; p.healthy {
			return p, nil
		}
	}
	return nil, errNoEntryHost
}

// check runs the balancer's health checks until ctx ends. A check opens a
// connection and asks for the health page.
func (c *cluster) check(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var group sync.WaitGroup
		c.mu.Lock()
		processes := ready(c.processes)
		c.mu.Unlock()
		for _, p := range processes {
			group.Go(func() {
				healthy := isHealthy(ctx, p.callers)
				c.mu.Lock()
				p.healthy = healthy
				c.mu.Unlock()
			})
		}
		group.Wait()
	}
}

// ready returns the entry hosts that have begun to accept callers.
func ready(processes []*process) []*process {
	var accepting []*process
	for _, p := range processes {
		if p.callers != "" {
			accepting = append(accepting, p)
		}
	}
	return accepting
}

// healthClient opens a connection for each check.
var healthClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func isHealthy(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
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
