// Reviewstandin plays the platform, the workers, the operator and the callers of the scripts of the review. It starts the
// project's own program as separate processes.
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

type edge struct {
	name      string
	boot      string
	front     string
	readiness string
	cmd       *exec.Cmd
}

type begun struct {
	task    string
	attempt int
	worker  *worker
	at      time.Time
	ended   time.Time
	how     string
}

type rig struct {
	store   *store
	dir     string
	program string
	trouble bool
	began   time.Time
	record  *os.File
	recMu   sync.Mutex
	edges   []*edge

	mu      sync.Mutex
	workers []*worker
	runs    []*begun
	quiet   bool
}

var current *rig

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.recMu.Lock()
	defer r.recMu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func fatal(format string, args ...any) {
	if current != nil {
		current.note("could not run: "+format, args...)
		current.stopAll()
	}
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

func encode(b []byte) string { return base64.StdEncoding.EncodeToString(b) }

func (r *rig) runBegan(w *worker, task string, attempt int) {
	r.mu.Lock()
	r.runs = append(r.runs, &begun{task: task, attempt: attempt, worker: w, at: time.Now()})
	quiet := r.quiet
	r.mu.Unlock()
	if !quiet {
		r.note("worker %s of %s begins %s run %d", w.id, w.pool, task, attempt)
	}
}

func (r *rig) runEnded(w *worker, task string, attempt int, how string) {
	r.mu.Lock()
	for i := len(r.runs) - 1; i >= 0; i-- {
		if b := r.runs[i]; b.task == task && b.attempt == attempt && b.worker == w {
			b.ended, b.how = time.Now(), how
			break
		}
	}
	quiet := r.quiet
	r.mu.Unlock()
	if !quiet {
		r.note("worker %s of %s: %s run %d ends: %s", w.id, w.pool, task, attempt, how)
	}
}

func freePorts(n int) []int {
	var list []net.Listener
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal("listen: %v", err)
		}
		list = append(list, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range list {
		_ = l.Close()
	}
	return ports
}

const bootTemplate = `nodeId: "%[1]s"
role: "entry"
machineClass: "edge"
serves:
  - "edge"
ip: "127.0.0.1"
zone: "z-a"
region: "z"
zones:
  z-a: "z"
listen:
  frontend: "127.0.0.1:%[2]d"
  readiness: "127.0.0.1:%[3]d"
portRange:
  - %[4]d
  - %[4]d
seeds: []
bootstrap: true
inTolerance: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "virtual_ip"
heartbeatMs: 1500
invariants: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
faultTolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, outerMs: 5000, recoveryS: 12, maxHoldMs: 6000, stopTimeoutMs: 200, gangWaitMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: 3, checkpointS: 0.5, restoreMs: 100, noticeMs: 4500, migrateS: 1.5, maintenanceS: 2, fencing: false, leaseTtlMs: 3000, thawMs: 300, paceMs: 100, interferenceMs: 4000}
commands: "rpc"
platform:
  address: "%[5]s"
  form: "table"
  writesPerS: 600
  readsPerS: 2000
  txnLatencyMs: 5.0
  partitionWritesS: 200
  rowBytes: 65536
  crossShard: false
  historyS: 20
`

func (r *rig) startEdge(storeAddress string) *edge {
	ports := freePorts(3)
	e := &edge{
		name: fmt.Sprintf("edge-z-a-%d", len(r.edges)+1), front: fmt.Sprintf("127.0.0.1:%d", ports[0]), readiness: fmt.Sprintf("127.0.0.1:%d", ports[1]),
	}
	e.boot = filepath.Join(r.dir, e.name+".yaml")
	if err := os.WriteFile(e.boot, fmt.Appendf(nil, bootTemplate, e.name, ports[0], ports[1], ports[2], storeAddress), 0o600); err != nil {
		fatal("%v", err)
	}
	r.edges = append(r.edges, e)
	r.launch(e)
	return e
}

func (r *rig) launch(e *edge) {
	log, err := os.OpenFile(filepath.Join(r.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	e.cmd = exec.Command(r.program, "edge")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINCROSS_BOOT=" + e.boot}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		fatal("start %s: %v", r.program, err)
	}
	_ = log.Close()
	r.note("process %s starts", e.name)
}

// restart stops a process with SIGTERM, and SIGKILL after graceS, and starts it again.
func (r *rig) restart(e *edge) {
	r.note("process %s gets SIGTERM", e.name)
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(6*time.Second, func() { _ = e.cmd.Process.Kill() })
	_ = e.cmd.Wait()
	kill.Stop()
	r.note("process %s has ended", e.name)
	r.launch(e)
}

func (r *rig) stopAll() {
	for _, e := range r.edges {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
		}
	}
}

func (r *rig) awaitReady(e *edge) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if response, err := http.Get("http://" + e.readiness + "/readiness"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	fatal("%s does not become ready", e.name)
}

// ask sends a caller's request on a channel of its own. It returns status 0 without an answer.
func (r *rig) ask(e *edge, method, path string, body any, deadline time.Duration) (int, string) {
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			fatal("%v", err)
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+e.front+path, payload)
	if err != nil {
		fatal("%v", err)
	}
	request.Host = "pule25.example"
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		r.note("%s %s at %s: no answer: %v", method, path, e.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if method != http.MethodGet {
		r.note("%s %s at %s: %d %s", method, path, e.name, response.StatusCode, text)
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// state returns the state of a job that a GET shows, or the status of the answer.
func (r *rig) state(e *edge, path string) string {
	status, text := r.ask(e, http.MethodGet, path, nil, 3*time.Second)
	var shown struct{ State string }
	if status == http.StatusOK && json.Unmarshal([]byte(text), &shown) == nil {
		return shown.State
	}
	return fmt.Sprint(status)
}

func spec(w work) string {
	encoded, _ := json.Marshal(w)
	return string(encoded)
}

func (r *rig) configure(version int, routes map[string]string, services ...string) {
	config := map[string]any{"version": version, "limits": map[string]any{"maxBodyBytes": 262144, "maxHeaderBytes": 16384, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000}}
	var list []any
	for prefix, service := range routes {
		list = append(list, map[string]any{
			"name": "route-" + strings.Trim(prefix, "/"), "host": "pule25.example", "pathPrefix": prefix, "service": service, "timeoutMs": 5000, "sloMs": 600, "sloFactor": 2.0,
			"priority": 0, "attempts": 3, "kind": "non_idempotent",
		})
	}
	config["routes"] = list
	var pools []any
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s, "admissionCheck": true, "healthPath": "/health", "maxConns": 64, "protocol": "http1"})
	}
	config["services"] = pools
	encoded, _ := json.Marshal(config)
	r.store.put("op", "config", encoded)
	r.note("the operator writes configuration %d: %v", version, routes)
}

func (r *rig) copyRuns() []begun {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]begun, len(r.runs))
	for i, b := range r.runs {
		runs[i] = *b
	}
	return runs
}

func (r *rig) liveWorkers() []*worker {
	r.mu.Lock()
	workers := slices.Clone(r.workers)
	r.mu.Unlock()
	var live []*worker
	for _, w := range workers { // the lock of a worker is taken before that of the rig
		w.mu.Lock()
		if !w.dead {
			live = append(live, w)
		}
		w.mu.Unlock()
	}
	return live
}

// maxDuration bounds the duration of a script.
const maxDuration = 118 * time.Second

func main() {
	runtime.LockOSThread() // the processes end with the thread that started them
	if len(os.Args) != 4 {
		fatal("usage: standin CASE PROGRAM RECORD")
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fatal("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("%v", err)
	}
	r := &rig{dir: dir, program: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	current = r
	time.AfterFunc(maxDuration, func() { fatal("the script takes longer than %s", maxDuration) })
	address := ""
	r.store, address = newStore()
	broken := ""
	switch os.Args[1] {
	case "crash":
		broken = r.crashCase(address)
	case "cancel":
		broken = r.cancelCase(address)
	case "moved":
		broken = r.movedCase(address)
	case "lateorder":
		broken = r.lateOrderCase(address)
	case "late":
		broken = r.lateCase(address)
	case "occurrences":
		broken = r.occurrencesCase(address)
	default:
		fatal("no such case: %s", os.Args[1])
	}
	r.stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	if broken != "" {
		r.note("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	r.note("held")
	fmt.Println("held")
}
