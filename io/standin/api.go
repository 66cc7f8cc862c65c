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
	mux.HandleFunc("POST /faults/table", p.switchTable)
	mux.HandleFunc("POST /faults/objects", p.switchObjects)
	mux.HandleFunc("POST /faults/list", p.switchList)
	mux.HandleFunc("POST /faults/target/{host}", p.switchTarget)
	mux.HandleFunc("POST /faults/host/{host}/{fault}", p.switchHost)
	return mux
}

func (p *Platform) switchTable(w http.ResponseWriter, r *http.Request) {
	q := query{request: r}
	f := TableFaults{
		Down: q.flag("down"), Delay: q.duration("delay"),
		LoseAnswers: q.count("lose-answers"), LoseCommits: q.count("lose-commits"),
	}
	q.apply(w, f, func() error {
		p.Table.SetFaults(f)
		return nil
	})
}

func (p *Platform) switchObjects(w http.ResponseWriter, r *http.Request) {
	q := query{request: r}
	down := q.flag("down")
	q.apply(w, struct{}{}, func() error {
		p.Objects.SetDown(down)
		return nil
	})
}

func (p *Platform) switchList(w http.ResponseWriter, r *http.Request) {
	q := query{request: r}
	f := ListFaults{Down: q.flag("down"), Empty: q.flag("empty"), Flap: q.number("flap"), Lag: q.duration("lag")}
	q.apply(w, f, func() error {
		p.SetListFaults(f)
		return nil
	})
}

func (p *Platform) switchTarget(w http.ResponseWriter, r *http.Request) {
	q := query{request: r}
	f := TargetFaults{
		Duplicate: q.count("duplicate"), Cross: q.count("cross"), Cut: q.count("cut"), Garbage: q.count("garbage"),
		Late: q.count("late"), LateBy: q.duration("late-by"), Slow: q.duration("slow"),
		FailTasks: q.flag("fail-tasks"), NeverReturns: q.flag("never-returns"),
	}
	q.apply(w, f, func() error { return p.SetTargetFaults(host.ID(r.PathValue("host")), f) })
}

func (p *Platform) switchHost(w http.ResponseWriter, r *http.Request) {
	q := query{request: r}
	id := host.ID(r.PathValue("host"))
	notice := q.duration("notice")
	hang := q.flag("hang")
	q.apply(w, struct{}{}, func() error {
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

// query reads parameters of a URL and keeps the first error.
type query struct {
	request *http.Request
	err     error
}

func (q *query) flag(name string) bool {
	return parameter(q, name, strconv.ParseBool)
}

func (q *query) count(name string) int {
	return parameter(q, name, strconv.Atoi)
}

func (q *query) number(name string) float64 {
	return parameter(q, name, func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

func (q *query) duration(name string) time.Duration {
	return parameter(q, name, time.ParseDuration)
}

func parameter[T any](q *query, name string, parse func(string) (T, error)) T {
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

// apply runs a switch if all parameters were read, and answers with the state of the switches.
func (q *query) apply(w http.ResponseWriter, state any, run func() error) {
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
