package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"siskincross/core/host"
	"siskincross/io/platform"
)

// handler returns the handler of the HTTP API: the platform's services, the fault switches and the records.
func (p *Platform) handler() http.Handler {
	mux := platform.NewHandler(p.Services())
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Records()) })
	mux.HandleFunc("POST /faults/table", p.handleTableFaults)
	mux.HandleFunc("POST /faults/objects", p.handleObjectStoreFaults)
	mux.HandleFunc("POST /faults/list", p.handleListFaults)
	mux.HandleFunc("POST /faults/target/{host}", p.handleTargetFaults)
	mux.HandleFunc("POST /faults/host/{host}/{fault}", p.handleHostFault)
	return mux
}

// handleTableFaults replaces the fault switches of the table; a parameter that is left out resets its switch.
func (p *Platform) handleTableFaults(w http.ResponseWriter, r *http.Request) {
	q := queryReader{request: r}
	f := TableFaults{
		Down: q.boolean("down"), Delay: q.duration("delay"),
		LoseAnswers: q.integer("lose-answers"), LoseCommits: q.integer("lose-commits"),
	}
	q.applyAndRespond(w, f, func() error {
		p.Table.SetFaults(f)
		return nil
	})
}

// handleObjectStoreFaults starts or ends an outage of the object store.
func (p *Platform) handleObjectStoreFaults(w http.ResponseWriter, r *http.Request) {
	q := queryReader{request: r}
	down := q.boolean("down")
	q.applyAndRespond(w, struct{}{}, func() error {
		p.Objects.SetDown(down)
		return nil
	})
}

// handleListFaults replaces the fault switches of the list of hosts; a parameter that is left out resets its switch.
func (p *Platform) handleListFaults(w http.ResponseWriter, r *http.Request) {
	q := queryReader{request: r}
	f := ListFaults{Down: q.boolean("down"), Empty: q.boolean("empty"), OmitProbability: q.number("flap"), Lag: q.duration("lag")}
	q.applyAndRespond(w, f, func() error {
		p.SetListFaults(f)
		return nil
	})
}

// handleTargetFaults replaces the fault switches of the target and worker on a host; a parameter that is left out resets its
// switch.
func (p *Platform) handleTargetFaults(w http.ResponseWriter, r *http.Request) {
	q := queryReader{request: r}
	f := TargetFaults{
		DuplicatedResponses: q.integer("duplicate"), CrossedResponses: q.integer("cross"), TruncatedResponses: q.integer("cut"), MalformedResponses: q.integer("garbage"),
		DelayedResponses: q.integer("late"), ResponseDelay: q.duration("late-by"), ChunkDelay: q.duration("slow"),
		FailTasks: q.boolean("fail-tasks"), RebootsHang: q.boolean("never-returns"),
	}
	q.applyAndRespond(w, f, func() error { return p.SetTargetFaults(host.ID(r.PathValue("host")), f) })
}

// handleHostFault makes a host fail, recover or leave.
func (p *Platform) handleHostFault(w http.ResponseWriter, r *http.Request) {
	q := queryReader{request: r}
	id := host.ID(r.PathValue("host"))
	notice := q.duration("notice")
	hang := q.boolean("hang")
	q.applyAndRespond(w, struct{}{}, func() error {
		switch fault := r.PathValue("fault"); fault {
		case "fail":
			mode := FailRefuse
			if hang {
				mode = FailHang
			}
			return p.FailHost(id, mode)
		case "recover":
			return p.RecoverHost(id)
		case "leave":
			return p.AnnounceHostRemoval(id, notice)
		default:
			return platform.ErrNotFound{Kind: "fault", Name: fault}
		}
	})
}

// queryReader parses the parameters of a request's URL and keeps the first error.
type queryReader struct {
	request *http.Request
	err     error
}

func (q *queryReader) boolean(name string) bool {
	return parseParameter(q, name, strconv.ParseBool)
}

func (q *queryReader) integer(name string) int {
	return parseParameter(q, name, strconv.Atoi)
}

func (q *queryReader) number(name string) float64 {
	return parseParameter(q, name, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

func (q *queryReader) duration(name string) time.Duration {
	return parseParameter(q, name, time.ParseDuration)
}

// parseParameter returns the parsed value of a parameter, or the zero value if it is absent.
func parseParameter[T any](q *queryReader, name string, parse func(string) (T, error)) T {
	var zero T
	text := q.request.URL.Query().Get(name)
	if text == "" {
		return zero
	}
	value, err := parse(text)
	if err != nil && q.err == nil {
		q.err = fmt.Errorf("parameter %q: %w", name, err)
	}
	return value
}

// applyAndRespond calls apply and responds with state, the new state of the switches. If a parameter could not be parsed, it
// responds with that error and doesn't call apply.
func (q *queryReader) applyAndRespond(w http.ResponseWriter, state any, apply func() error) {
	if q.err != nil {
		http.Error(w, q.err.Error(), http.StatusBadRequest)
		return
	}
	if err := apply(); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, state)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
