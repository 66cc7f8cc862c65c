package entry

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sort"
	"strings"
	"testing"
	"time"

	"siskincross/core/host"
	"siskincross/core/route"
	"siskincross/io/load"
)

// startWorkers starts one HTTP server that listens on count loopback addresses, and an entry host whose pool has
// one worker per address. direct is the URL of the first worker.
func startWorkers(b *testing.B, count int) (s *entryHost, direct string) {
	b.Helper()
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		b.Fatal(err)
	}
	answer := []byte(strings.Repeat("quote ", 100))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		_, _ = w.Write(answer)
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	b.Cleanup(func() {
		_ = server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			b.Error(err)
		}
	})
	port := listener.Addr().(*net.TCPAddr).Port
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.1.%d.%d:%d", i/250, i%250+1, port)
	}
	return startEntryHost(b, addresses...), "http://" + addresses[0]
}

// BenchmarkLatency measures the latency that an entry host adds at 2,000 requests per second. It alternates between
// direct calls and calls through the entry host.
func BenchmarkLatency(b *testing.B) {
	s, direct := startWorkers(b, 48)
	length := max(time.Duration(b.N)*time.Second/(latencyRate*latencyRounds), 200*time.Millisecond)
	measure := func(url string) load.Report {
		report, err := load.Run(b.Context(), load.Plan{
			URLs: []string{url}, Phases: []load.Phase{{Rate: latencyRate, Length: length}}, Seed: 1,
		})
		if err != nil || report.Count(load.ClassAnswered) < report.Total() {
			b.Fatalf("answered %d of %d: %v", report.Count(load.ClassAnswered), report.Total(), err)
		}
		return report
	}
	measure(s.url + testPath)
	measure(direct)
	samples := map[string][]float64{}
	for range latencyRounds {
		without, with := measure(direct), measure(s.url+testPath)
		for _, q := range []float64{0.5, 0.99} {
			d, e := without.Latency(load.ClassAnswered, q), with.Latency(load.ClassAnswered, q)
			name := fmt.Sprintf("-p%.0f-us", q*100)
			samples["direct"+name] = append(samples["direct"+name], float64(d.Microseconds()))
			samples["added"+name] = append(samples["added"+name], float64((e - d).Microseconds()))
		}
	}
	for name, values := range samples {
		sort.Float64s(values)
		b.ReportMetric(values[len(values)/2], name)
	}
}

const (
	latencyRate = 2000
	// latencyRounds is the number of alternations between direct calls and calls through the entry host. The medians
	// over the rounds are reported.
	latencyRounds = 5
)

// BenchmarkThroughput measures the throughput of concurrent calls, directly and through an entry host.
func BenchmarkThroughput(b *testing.B) {
	s, direct := startWorkers(b, 48)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	for name, url := range map[string]string{"direct": direct, "through an entry host": s.url + testPath} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					callOnce(b, client, url)
				}
			})
		})
	}
}

// callOnce sends one GET request and fails the benchmark unless the status is 200.
func callOnce(b *testing.B, client *http.Client, url string) {
	response, err := client.Get(url)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Errorf("status %d", response.StatusCode)
	}
}

// BenchmarkWorkers measures sequential calls through an entry host for pools of increasing size, and its memory.
func BenchmarkWorkers(b *testing.B) {
	client := &http.Client{}
	for _, count := range []int{48, 480, 2700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, _ := startWorkers(b, count)
			for range 2 * count {
				callOnce(b, client, s.url+testPath)
			}
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			b.ReportAllocs()
			for b.Loop() {
				callOnce(b, client, s.url+testPath)
			}
			b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/(1<<20), "MiB")
		})
	}
}

// BenchmarkChoice measures the acquisition and release of a target for pools of increasing size.
func BenchmarkChoice(b *testing.B) {
	for _, count := range []int{48, 480, 2700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			snapshot := route.Snapshot{Epoch: 1, Version: 1}
			for i := range count {
				snapshot.Targets = append(snapshot.Targets, route.Target{
					Host: host.ID(fmt.Sprint(i)), Capacity: host.Capacity{Slots: 8, Connections: 64},
				})
			}
			var board route.TargetSelector
			board.Update(snapshot)
			rng := rand.New(rand.NewPCG(1, 1))
			now := time.Now()
			w := &route.Waiter{Idempotent: true}
			b.ReportAllocs()
			for b.Loop() {
				target, _ := board.Acquire(now, rng, w)
				board.Release(now, target.Host, route.Attempt{Sent: true}, time.Millisecond)
			}
		})
	}
}

// BenchmarkIdlePools measures one iteration of the background loop, which runs 20 times per second, over 49 pools
// without requests: once with refreshing them and once with skipping them.
func BenchmarkIdlePools(b *testing.B) {
	s, _ := startWorkers(b, 55)
	for i := range 49 {
		s.pool(fmt.Sprint(i)).refresh()
	}
	variants := map[string]func(p *pool){"refreshed": (*pool).refresh, "skipped": (*pool).refreshIfActive}
	for name, process := range variants {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				for _, p := range s.pools {
					process(p)
				}
			}
		})
	}
}
