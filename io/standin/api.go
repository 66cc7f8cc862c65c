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

// handler serves the platform's services, the fault switches and the records.
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

func (p *Platform) handleObjectStoreFaults(w http.ResponseWriter, r *http.Request) {
	q := queryReader{request: r}
	down := q.boolean("down")
	q.applyAndRespond(w, struct{}{}, func() error {
		p.Objects.SetDown(down)
		return nil
	})
}

func (p *Platform) handleListFaults(w http.ResponseWriter, r *http.Request) {
	q := queryReader{request: r}
	f := ListFaults{Down: q.boolean("down"), Empty: q.boolean("empty"), Flap: q.number("flap"), Lag: q.duration("lag")}
	q.applyAndRespond(w, f, func() error {
		p.SetListFaults(f)
		return nil
	})
}

func (p *Platform) handleTargetFaults(w http.ResponseWriter, r *http.Request) {
	q := queryReader{request: r}
	f := TargetFaults{
		Duplicate: q.integer("duplicate"), Cross: q.integer("cross"), Cut: q.integer("cut"), Garbage: q.integer("garbage"),
		Late: q.integer("late"), LateBy: q.duration("late-by"), Slow: q.duration("slow"),
		FailTasks: q.boolean("fail-tasks"), NeverReturns: q.boolean("never-returns"),
	}
	q.applyAndRespond(w, f, func() error { return p.SetTargetFaults(host.ID(r.PathValue("host")), f) })
}

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
			return p.Fail(id, mode)
		case "recover":
			return p.Recover(id)
		case "leave":
			return p.Leave(id, notice)
		default:
			return platform.ErrNotFound{Kind: "fault", Name: fault}
		}
	})
}

// queryReader reads parameters of a URL and keeps the first error.
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

// applyAndRespond runs a switch if all parameters were read, and answers with the state of the switches.
func (q *queryReader) applyAndRespond(w http.ResponseWriter, state any, run func() error) {
	if q.err != nil {
		http.Error(w, q.err.Error(), http.StatusBadRequest)
		return
	}
	if err := run(); err != nil {
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
