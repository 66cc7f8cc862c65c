package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Class -transform=kebab -trimprefix=Class -output=report_enumer.go

// Class is the outcome of a request, as seen by the caller.
type Class int

// Classes of completed requests.
const (
	// ClassAnswered requests received a complete response from a target.
	ClassAnswered Class = iota
	// ClassNotRun requests were not started by any target, as the response states.
	ClassNotRun
	// ClassUnknown requests may have been run by a target, as the response states.
	ClassUnknown
	// ClassBroken requests received no response or a truncated one.
	ClassBroken
	// ClassOverrun requests were due while Plan.MaxOutstanding requests were in progress, and were not sent.
	ClassOverrun
)

const (
	// maxTrackedLatency is the upper bound of the histograms; longer latencies are recorded as this value.
	maxTrackedLatency = time.Minute
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 3
	// columnGap is the number of spaces between the columns of the table.
	columnGap = 2
)

// Report holds the latencies of a run, each measured from the time that the request was due.
type Report struct {
	// Elapsed is the time from the start of the run to the completion of the last request.
	Elapsed time.Duration
	// classes are the latency histograms in microseconds, by class; nil for a class without requests.
	classes [ClassOverrun + 1]*hdrhistogram.Histogram
}

// Count returns the number of requests of a class.
func (r Report) Count(c Class) int64 {
	if r.classes[c] == nil {
		return 0
	}
	return r.classes[c].TotalCount()
}

// Total returns the number of requests of all classes.
func (r Report) Total() int64 {
	total := int64(0)
	for _, c := range ClassValues() {
		total += r.Count(c)
	}
	return total
}

// Latency returns the quantile, between 0 and 1, of the latencies of a class.
func (r Report) Latency(c Class, quantile float64) time.Duration {
	if r.classes[c] == nil {
		return 0
	}
	return time.Duration(r.classes[c].ValueAtQuantile(quantile*100)) * time.Microsecond
}

// Print writes a table with the rate and the latency quantiles of each class.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "outcome\trequests\tper second\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, c := range ClassValues() {
		if r.Count(c) == 0 {
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%.1f\t", c, r.Count(c), float64(r.Count(c))/r.Elapsed.Seconds())
		for _, quantile := range []float64{0.5, 0.9, 0.99, 0.999, 1} {
			fmt.Fprintf(t, "%s\t", r.Latency(c, quantile))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// record adds a request to the histogram of its class.
func (r *Report) record(c Class, latency time.Duration) {
	if r.classes[c] == nil {
		r.classes[c] = hdrhistogram.New(1, maxTrackedLatency.Microseconds(), significantDigits)
	}
	micros := min(max(latency, time.Microsecond), maxTrackedLatency).Microseconds()
	// RecordValue can't fail because the value is within the histogram's bounds.
	_ = r.classes[c].RecordValue(micros)
}
