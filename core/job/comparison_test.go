package job

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/matryer/is"

	"siskincross/core/host"
)

// workload is a job template whose declared size differs greatly from its actual usage.
type workload struct {
	template       string
	declaredCores  int
	declaredMemory int64
	cores          float64
	memory         int64
	duration       time.Duration
}

var workloads = []workload{
	{"render", 16, 24 * gigabyte, 5, 6 * gigabyte, 4 * time.Minute},
	{"mark", 4, 2 * gigabyte, 1, 5 * gigabyte, 40 * time.Second},
	{"encode", 8, 32 * gigabyte, 6, 9 * gigabyte, 3 * time.Minute},
	{"audit", 2, 4 * gigabyte, 4, 14 * gigabyte, 2 * time.Minute},
	{"report", 4, 16 * gigabyte, 0.5, 2 * gigabyte, time.Minute},
}

// comparison holds the results of one placement method.
type comparison struct {
	finished    int
	utilisation float64
	waits       []time.Duration
	stops       int
	killed      int
	makespan    time.Duration
}

// runWorkload runs the same jobs under one placement method.
func runWorkload(t *testing.T, method Method, seed uint64) comparison {
	const jobs, limit = 1500, 4 * time.Hour
	b := newSimulation(t, 24)
	b.s = &Scheduler{Pool: "kunta/lessons", Epoch: 1, Policy: Policy{Method: method}}
	b.s.SetWorkers(b.targets, b.now)
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := make(map[ID]workload)
	factors := make(map[ID]float64)
	b.behaviour = func(_ host.ID, j Job) behaviour {
		k, f := kinds[j.ID], factors[j.ID]
		return behaviour{duration: time.Duration(f * float64(k.duration)), cores: f * k.cores, memory: int64(f * float64(k.memory)), rampUp: 20 * time.Second}
	}
	var ids []ID
	begin := b.now
	for b.now.Sub(begin) < limit && len(b.ended) < jobs {
		for range 5 {
			if len(ids) == jobs {
				break
			}
			k := workloads[random.IntN(len(workloads))]
			spec := testSpec("video", k.template)
			spec.Cores, spec.MemoryBytes = k.declaredCores, k.declaredMemory
			id := b.submit(1, spec)[0]
			kinds[id], factors[id] = k, 0.7+0.6*random.Float64()
			ids = append(ids, id)
		}
		b.run(2 * time.Second)
	}
	sort.Slice(b.waits, func(i, j int) bool { return b.waits[i] < b.waits[j] })
	return comparison{
		finished: b.count(ids, "finished"), utilisation: b.usage.cores / b.usage.capacity,
		waits: b.waits, stops: b.stops, killed: b.killed, makespan: b.now.Sub(begin),
	}
}

func (c comparison) quantile(q float64) time.Duration {
	return c.waits[int(q*float64(len(c.waits)-1))].Round(time.Second)
}

func TestPlacementMethods(t *testing.T) {
	const seed = 7
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 1, 2, ' ', 0)
	fmt.Fprintln(writer, "method\tfinished\tmakespan\tcores used\twait p50\twait p95\tstops\tkilled over memory")
	results := make(map[Method]comparison)
	for _, method := range MethodValues() {
		c := runWorkload(t, method, seed)
		results[method] = c
		fmt.Fprintf(writer, "%v\t%d\t%v\t%.2f\t%v\t%v\t%d\t%d\n",
			method, c.finished, c.makespan, c.utilisation, c.quantile(0.5), c.quantile(0.95), c.stops, c.killed)
	}
	if err := writer.Flush(); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + text.String())
	t.Run("the same trace has the same outcome", func(t *testing.T) {
		is.New(t).Equal(runWorkload(t, MethodLearned, seed), results[MethodLearned])
	})
	learned := results[MethodLearned]
	if learned.killed > 0 {
		t.Errorf("%d tasks were killed on workers over their memory", learned.killed)
	}
	for _, other := range []Method{MethodFirstFit, MethodBestFit} {
		if learned.makespan > results[other].makespan || learned.utilisation < results[other].utilisation {
			t.Errorf("%v does better than learnt usage", other)
		}
	}
}
