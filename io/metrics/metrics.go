// Package metrics creates the tally scope of a process and serves its metrics in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope passes its values to the Prometheus reporter.
const reportInterval = time.Second

// Metrics holds the root scope of one process. Create it with New.
type Metrics struct {
	// Scope is the root scope of all metrics of the process.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler

	closer io.Closer
}

// New returns the metrics of a process. The tags are added to every metric. A metric
// that can't be registered, because its name is in use with other tags, is omitted;
// the reporter's default would be to panic.
func New(tags map[string]string) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      prom.NewRegistry(),
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "siskincross",
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizeOptions(),

		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error {
	return errors.Wrap(m.closer.Close(), "stop reporting metrics")
}

// sanitizeOptions returns options that convert metric names to valid Prometheus names and
// leave tag values unchanged, since the names of hosts and pools contain hyphens and slashes.
func sanitizeOptions() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges: []tally.SanitizeRange{{' ', '~'}},
	}
	return &options
}
