package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"
)

// sample is one request that ended.
type sample struct {
	class   Class
	latency time.Duration
}

// generator carries out one plan.
type generator struct {
	plan    Plan
	client  *http.Client
	samples chan sample
}

// Run puts the planned load on the addresses and reports what came of every request. If ctx ends, it
// waits for the requests under way and returns what it has with ctx's error.
func Run(ctx context.Context, plan Plan) (Report, error) {
	plan, err := plan.withDefaults()
	if err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: plan.MaxOutstanding, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := &generator{
		plan:    plan,
		client:  &http.Client{Transport: transport, Timeout: plan.Timeout},
		samples: make(chan sample, plan.MaxOutstanding),
	}
	return g.run(ctx, plan.arrivals())
}

func (g *generator) run(ctx context.Context, due []time.Duration) (Report, error) {
	var report Report
	begun := time.Now()
	outstanding := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := 0; i < len(due) && ctx.Err() == nil; {
		timer.Reset(time.Until(begun.Add(due[i])))
		select {
		case s := <-g.samples:
			report.record(s.class, s.latency)
			outstanding--
		case <-timer.C:
			if outstanding >= g.plan.MaxOutstanding {
				report.record(ClassOverrun, 0)
			} else {
				outstanding++
				go g.call(ctx, g.plan.URLs[i%len(g.plan.URLs)], begun.Add(due[i]))
			}
			i++
		case <-ctx.Done():
		}
	}
	for ; outstanding > 0; outstanding-- {
		s := <-g.samples
		report.record(s.class, s.latency)
	}
	report.Elapsed = time.Since(begun)
	return report, ctx.Err()
}

// call sends one request and gives its sample to the generator's channel.
func (g *generator) call(ctx context.Context, url string, due time.Time) {
	class := g.send(ctx, url)
	g.samples <- sample{class, time.Since(due)}
}

func (g *generator) send(ctx context.Context, url string) Class {
	r, err := http.NewRequestWithContext(ctx, g.plan.Method, url, bytes.NewReader(g.plan.Body))
	if err != nil {
		return ClassBroken
	}
	for name, values := range g.plan.Header {
		r.Header[name] = values
	}
	if g.plan.Keyed {
		r.Header.Set("Idempotency-Key", ulid.Make().String())
	}
	response, err := g.client.Do(r)
	if err != nil {
		return ClassBroken
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return ClassBroken
	}
	return classify(response)
}

// classify tells how a whole answer ended the request. A target called directly states no outcome.
func classify(response *http.Response) Class {
	switch response.Header.Get("Siskincross-Outcome") {
	case "not-run":
		return ClassNotRun
	case "unknown":
		return ClassUnknown
	}
	return ClassAnswered
}
