package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeCallTime is how long the stand-in store takes for a call.
const storeCallTime = 4 * time.Millisecond

// row is a row of the store in the wire format.
type row struct {
	Table      string  `json:"table"`
	Part       string  `json:"part"`
	Key        string  `json:"key"`
	Value      []byte  `json:"value,omitempty"`
	RowVersion *uint64 `json:"rowVersion,omitempty"`
	Deleted    bool    `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in of the platform's metadata store. It loses nothing and its answers are linearizable.
type store struct {
	began time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	changed chan struct{}
	// loses is the share of the transactions that are done and not answered, in percent; late delays those by 1 to 6 s.
	loses int
	late  bool
	// takenBy is called with the partition and the value of each row "holder" that is written. It may be nil.
	takenBy func(duty string, value []byte)
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[string]row), changed: make(chan struct{}), version: 1}
}

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() + 1 }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeCallTime)
	switch r.URL.Path {
	case "/rows-tx":
		s.serveTransaction(w, r)
	case "/rows-get":
		s.serveRows(w, r)
	case "/rows-parts":
		s.serveParts(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var tx struct{ ExpectedRev, Write, Remove []row }
	if err != nil || json.Unmarshal(body, &tx) != nil || len(tx.ExpectedRev)+len(tx.Write)+len(tx.Remove) > 100 || len(body) > 1<<20 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := make(map[string]bool)
	for _, e := range slices.Concat(tx.ExpectedRev, tx.Write, tx.Remove) {
		parts[e.Part] = true
	}
	for _, e := range slices.Concat(tx.Write, tx.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if len(parts) > 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	lost, late := rand.IntN(100) < s.loses, s.late
	if lost && late {
		s.mu.Unlock()
		go func() {
			time.Sleep(time.Duration(1000+rand.IntN(5000)) * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, e := range tx.ExpectedRev {
				known, ok := s.rows[e.id()]
				if (ok && *known.RowVersion != *e.RowVersion) || (!ok && *e.RowVersion != 0) {
					return
				}
			}
			s.apply(tx.Write, tx.Remove)
		}()
		<-r.Context().Done()
		return
	}
	stale, current := false, []row{}
	for _, e := range tx.ExpectedRev {
		actual := uint64(0)
		if known, ok := s.rows[e.id()]; ok {
			actual = *known.RowVersion
			current = append(current, known)
		}
		stale = stale || e.RowVersion == nil || actual != *e.RowVersion
	}
	if stale {
		version := s.version
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, map[string]any{"rows": current, "rowVersion": version, "nowMs": s.nowMs()})
		return
	}
	s.apply(tx.Write, tx.Remove)
	version, takenBy := s.version, s.takenBy
	s.mu.Unlock()
	if takenBy != nil {
		for _, e := range tx.Write {
			if e.Table == "fleet" && e.Key == "holder" {
				takenBy(e.Part, e.Value)
			}
		}
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, map[string]any{"rowVersion": version, "nowMs": s.nowMs()})
}

// apply writes and removes rows as one version. The caller holds the lock.
func (s *store) apply(write, remove []row) {
	s.version++
	version := s.version
	for _, e := range write {
		e.RowVersion, e.Deleted = &version, false
		s.rows[e.id()] = e
		s.history = append(s.history, e)
	}
	for _, e := range remove {
		if _, ok := s.rows[e.id()]; !ok {
			continue
		}
		delete(s.rows, e.id())
		s.history = append(s.history, row{Table: e.Table, Part: e.Part, Key: e.Key, RowVersion: &version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as an operator or a worker does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

// remove removes a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	const pageRows = 500
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	rows := []row{}
	for _, e := range s.rows {
		inside := e.Key >= q.Get("from") && (q.Get("target") == "" || e.Key < q.Get("target"))
		if e.Table == q.Get("table") && e.Part == q.Get("part") && inside {
			rows = append(rows, e)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	reply(w, map[string]any{"rows": rows[:min(limit, len(rows))], "hasMore": more, "rowVersion": version, "nowMs": s.nowMs()})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	parts := []string{}
	for _, e := range s.rows {
		if e.Table == q.Get("table") && e.Part > q.Get("after") && !slices.Contains(parts, e.Part) {
			parts = append(parts, e.Part)
		}
		if e.Table == q.Get("table") && e.Part == "" && q.Get("after") == "" && !slices.Contains(parts, "") {
			parts = append(parts, "")
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	reply(w, map[string]any{"parts": parts, "hasMore": false})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		rows := []row{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(e row, v uint64) int { return int(int64(*e.RowVersion) - int64(v)) })
		for _, e := range s.history[first:] {
			if e.Table == q.Get("table") {
				rows = append(rows, e)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || timedOut {
			reply(w, map[string]any{"rows": rows, "rowVersion": version, "nowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			timedOut = true
		}
	}
}

func reply(w http.ResponseWriter, answer any) {
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		panic(http.ErrAbortHandler)
	}
}
