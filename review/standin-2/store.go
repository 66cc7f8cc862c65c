package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct{ table, part, key string }

// row is a row on the wire.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

const (
	txLatency    = 5 * time.Millisecond
	readLatency  = 4 * time.Millisecond
	historyLimit = 20 * time.Second
	maxRows      = 500
	maxPageBytes = 1 << 20
	maxRowBytes  = 65536
	maxEntries   = 100
)

// change is a row as a transaction left it.
type change struct {
	row
	at time.Time
}

// store is the platform's metadata store in its table form.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []change
	version uint64
	// forgotten is the version up to which the history has been dropped.
	forgotten uint64
	changed   chan struct{}
	started   time.Time
	parts     map[string]*sync.Mutex
	// fault, if it is set, may answer a call in place of the store and then returns true.
	fault func(w http.ResponseWriter, r *http.Request) bool
}

func newStore() *store {
	return &store{rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now(), parts: make(map[string]*sync.Mutex)}
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

// apply writes and removes rows. The caller holds the lock.
func (s *store) apply(writes, removes []row) {
	s.version++
	now := time.Now()
	for _, w := range writes {
		w.RowVersion, w.Deleted = s.version, false
		s.rows[w.id()] = w
		s.history = append(s.history, change{w, now})
	}
	for _, r := range removes {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.history = append(s.history, change{row{Table: r.Table, Part: r.Part, Key: r.Key, RowVersion: s.version, Deleted: true}, now})
	}
	old := 0
	for old < len(s.history) && now.Sub(s.history[old].at) > historyLimit {
		s.forgotten = s.history[old].RowVersion
		old++
	}
	s.history = slices.Clone(s.history[old:])
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the platform, the operator or a worker.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: text}}, nil)
}

// remove removes a row as the platform.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// read returns the value of a row, or nil.
func (s *store) read(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

// partLock returns the lock under which the transactions of a part follow one another.
func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = new(sync.Mutex)
	}
	return s.parts[part]
}

func respond(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil && fault(w, r) {
		return
	}
	switch r.URL.Path {
	case "/rows-tx":
		s.serveTransaction(w, r)
	case "/rows-get":
		s.serveRange(w, r)
	case "/rows-parts":
		s.serveParts(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRev []row `json:"expectedRev"`
		Write       []row `json:"write"`
		Remove      []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	entries := slices.Concat(tx.ExpectedRev, tx.Write, tx.Remove)
	if len(entries) == 0 || len(entries) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range entries {
		if e.Part != entries[0].Part || len(e.Value) > maxRowBytes || len(e.Key) > 200 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for _, e := range slices.Concat(tx.Write, tx.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	part := s.partLock(entries[0].Part)
	part.Lock()
	defer part.Unlock()
	time.Sleep(txLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	mismatch := false
	current := []row{}
	for _, e := range tx.ExpectedRev {
		known, ok := s.rows[e.id()]
		if !ok {
			known = row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		mismatch = mismatch || known.RowVersion != e.RowVersion
		if ok {
			current = append(current, known)
		}
	}
	if mismatch {
		respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "rowVersion": s.version, "nowMs": s.nowMs()})
		return
	}
	s.apply(tx.Write, tx.Remove)
	respond(w, http.StatusOK, map[string]any{"rowVersion": s.version, "nowMs": s.nowMs()})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readLatency)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for k, known := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(found) && n < limit && (n == 0 || size+len(found[n].Value) <= maxPageBytes) {
		size += len(found[n].Value)
		n++
	}
	respond(w, http.StatusOK, map[string]any{"rows": found[:n], "hasMore": n < len(found), "rowVersion": s.version, "nowMs": s.nowMs()})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readLatency)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") && !slices.Contains(parts, k.part) {
			parts = append(parts, k.part)
		}
	}
	slices.Sort(parts)
	more := len(parts) > 1000
	respond(w, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), 1000)], "hasMore": more, "rowVersion": s.version, "nowMs": s.nowMs()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	defer cancel()
	time.Sleep(readLatency)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for _, c := range s.history {
			if c.RowVersion > after && c.Table == q.Get("table") {
				rows = append(rows, c.row)
			}
		}
		changed, version := s.changed, s.version
		s.mu.Unlock()
		if len(rows) > 0 || ctx.Err() != nil {
			if r.Context().Err() == nil {
				respond(w, http.StatusOK, map[string]any{"rows": rows, "rowVersion": version, "nowMs": s.nowMs()})
			}
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
