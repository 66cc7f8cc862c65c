package measure

import (
	"bufio"
	"context"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// settleTime is how long a cluster runs before the measurement, so that the
	// hosts are adopted and the duties are distributed.
	settleTime = 15 * time.Second
	// measureTime is the duration of the measurement of a cluster.
	measureTime = 20 * time.Second
	// maxRows is the maximum number of rows of one kind whose sizes are summed.
	maxRows = 10_000
	percent = 100
)

// footprint is the resource usage of a cluster without load from callers.
type footprint struct {
	// processor is the processor time of one entry host in percent of a core.
	processor float64
	// memory is the live heap of one entry host in bytes.
	memory float64
	// sentBytes is the number of bytes per second that one entry host sends to its peers.
	sentBytes float64
	// writes and reads are the rows per second of all entry hosts together.
	writes, reads float64
	// poolRows and memberRows are the total sizes of the pools' and the members' rows in bytes.
	poolRows, memberRows float64
}

// Footprints measures a cluster once for each size and caches the result. The zero value is ready to use.
type Footprints struct {
	bySize map[int]footprint
}

// Measurements returns the series of the resource usage without load from callers.
func (f *Footprints) Measurements(sizes []int) []Measurement {
	series := []struct {
		name, unit, meaning string
		value               func(footprint) float64
	}{
		{"control-processor", "% of a core", "Processor time of one entry host.", func(p footprint) float64 { return p.processor }},
		{"control-memory", "bytes", "Live heap of one entry host.", func(p footprint) float64 { return p.memory }},
		{"control-sent", "bytes/s", "Bytes that one entry host sends to its peers.", func(p footprint) float64 { return p.sentBytes }},
		{"store-writes", "rows/s", "Rows written by all entry hosts together.", func(p footprint) float64 { return p.writes }},
		{"store-reads", "rows/s", "Rows read by all entry hosts together.", func(p footprint) float64 { return p.reads }},
		{"pool-rows", "bytes", "Total size of the pools' rows.", func(p footprint) float64 { return p.poolRows }},
		{"member-rows", "bytes", "Total size of the members' rows.", func(p footprint) float64 { return p.memberRows }},
	}
	measurements := make([]Measurement, len(series))
	for i, s := range series {
		measurements[i] = Measurement{
			Name: s.name, Unit: s.unit, Meaning: s.meaning, Sizes: sizes,
			Run: func(ctx context.Context, size int) (float64, error) {
				p, err := f.forSize(ctx, size)
				return s.value(p), err
			},
		}
	}
	return measurements
}

// forSize returns the cached footprint for a size, and measures it first if necessary.
func (f *Footprints) forSize(ctx context.Context, size int) (footprint, error) {
	if p, ok := f.bySize[size]; ok {
		return p, nil
	}
	p, err := measureFootprint(ctx, size)
	if err != nil {
		return p, err
	}
	if f.bySize == nil {
		f.bySize = make(map[int]footprint)
	}
	f.bySize[size] = p
	return p, nil
}

// counterSnapshot holds the values of the cumulative counters at one time.
type counterSnapshot struct {
	at time.Time
	// processor is the processor time of this process.
	processor time.Duration
	// sent is the number of bytes that all entry hosts have sent to their peers.
	sent float64
	// writes and reads count the rows of the stand-in's table.
	writes, reads float64
}

// measureFootprint starts a cluster for a fleet with size hosts, measures it and ends it.
func measureFootprint(ctx context.Context, size int) (footprint, error) {
	before := liveHeap()
	c, err := startCluster(ctx, size)
	if err != nil {
		return footprint{}, err
	}
	time.Sleep(settleTime)
	first, err := c.snapshot(ctx)
	if err != nil {
		return footprint{}, errors.Join(err, c.kill())
	}
	time.Sleep(measureTime)
	second, err := c.snapshot(ctx)
	if err != nil {
		return footprint{}, errors.Join(err, c.kill())
	}
	memory := (liveHeap() - before) / entryHosts
	p := usageBetween(first, second)
	p.memory = memory
	p.poolRows, err = c.rowBytes(ctx, "pool/")
	if err != nil {
		return p, errors.Join(err, c.kill())
	}
	p.memberRows, err = c.rowBytes(ctx, "member/")
	return p, errors.Join(err, c.kill())
}

// rowBytes returns the total size of the rows whose keys have a prefix.
func (c *cluster) rowBytes(ctx context.Context, prefix string) (float64, error) {
	rows, err := c.platform.Table.Scan(ctx, prefix, "", maxRows)
	if err != nil {
		return 0, errors.Wrapf(err, "scan %s", prefix)
	}
	total := 0
	for _, row := range rows {
		total += len(row.Key) + len(row.Value)
	}
	return float64(total), nil
}

// usageBetween returns the rates between two snapshots.
func usageBetween(first, second counterSnapshot) footprint {
	seconds := second.at.Sub(first.at).Seconds()
	return footprint{
		processor: (second.processor - first.processor).Seconds() / seconds / entryHosts * percent,
		sentBytes: (second.sent - first.sent) / seconds / entryHosts,
		writes:    (second.writes - first.writes) / seconds,
		reads:     (second.reads - first.reads) / seconds,
	}
}

// snapshot reads the counters of the process, the stand-in and the entry hosts.
func (c *cluster) snapshot(ctx context.Context) (counterSnapshot, error) {
	r := counterSnapshot{at: time.Now()}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return r, errors.Wrap(err, "read the processor time")
	}
	r.processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	counts := c.platform.Table.Counts()
	r.writes, r.reads = float64(counts.RowWrites), float64(counts.RowReads)
	for _, n := range c.nodes {
		sent, err := scrapeMetric(ctx, n.Addresses().Operators, "siskincross_peer_sent_bytes")
		if err != nil {
			return r, err
		}
		r.sent += sent
	}
	return r, nil
}

// scrapeMetric reads the metrics of an entry host and returns the value of the first sample with a name.
func scrapeMetric(ctx context.Context, address, name string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, errors.Wrap(err, "create the metrics request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "fetch the metrics")
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && strings.HasPrefix(fields[0], name+"{") {
			return strconv.ParseFloat(fields[len(fields)-1], 64)
		}
	}
	return 0, errors.Newf("metric %s not found", name)
}

// liveHeap runs a garbage collection and returns the size of the heap in bytes.
func liveHeap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
