package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the metadata store as in PROTOCOL.md.
type row struct {
	Table      string  `json:"table"`
	Part       string  `json:"part"`
	Key        string  `json:"key"`
	Value      string  `json:"value,omitempty"`
	RowVersion *uint64 `json:"rowVersion,omitempty"`
	Deleted    bool    `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type transaction struct {
	ExpectedRev, Write, Remove []row
}

// Limits of the store: PROTOCOL.md and DEPLOY.md.
const (
	maxEntries = 100
	maxBytes   = 1 << 20
	rowBytes   = 65536
	txLatency  = 5 * time.Millisecond
)

// store is a stand-in for the metadata store. Every call of it is answered at once unless loses says otherwise.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	changed chan struct{}
	parts   map[string]*sync.Mutex
	began   time.Time
	refused int
	refusal string
	// loses reports whether the response to a transaction is lost, and after which delay the transaction is performed.
	loses func(tx transaction) (time.Duration, bool)
}

func newStore() (*store, string) {
	s := &store{rows: make(map[string]row), changed: make(chan struct{}), version: 1, parts: make(map[string]*sync.Mutex), began: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, l.Addr().String()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/rows-tx":
		s.transact(w, r, body)
	case "/rows-get":
		s.get(w, r)
	case "/rows-parts":
		s.listParts(w, r)
	case "/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// problem returns why the store does not take a transaction, or an empty string.
func problem(tx transaction, size int) string {
	if n := len(tx.ExpectedRev) + len(tx.Write) + len(tx.Remove); n > maxEntries {
		return "more than 100 entries"
	}
	if size > maxBytes {
		return "more than 1 MB"
	}
	parts := make(map[string]bool)
	for _, r := range slices.Concat(tx.ExpectedRev, tx.Write, tx.Remove) {
		parts[r.Part] = true
	}
	if len(parts) > 1 {
		return "more than one part"
	}
	for _, r := range tx.Write {
		if len(r.Value) > rowBytes {
			return "the value of " + r.Table + "/" + r.Part + "/" + r.Key + " has " + strconv.Itoa(len(r.Value)) + " bytes in base64, more than rowBytes"
		}
	}
	return ""
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, body []byte) {
	var tx transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if p := problem(tx, len(body)); p != "" {
		s.mu.Lock()
		s.refused++
		s.refusal = p
		s.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		reply(w, map[string]any{"reason": p})
		return
	}
	for _, r := range slices.Concat(tx.Write, tx.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	loses := s.loses
	s.mu.Unlock()
	if loses != nil {
		if delay, lost := loses(tx); lost {
			time.AfterFunc(delay, func() { s.perform(tx) })
			<-r.Context().Done() // nothing further is delivered on this channel
			return
		}
	}
	s.part(tx).Lock()
	time.Sleep(txLatency)
	version, current, ok := s.perform(tx)
	s.part(tx).Unlock()
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	reply(w, map[string]any{"rows": current, "rowVersion": version, "nowMs": s.now()})
}

// part returns the lock of a transaction's part: it handles transactions one after another.
func (s *store) part(tx transaction) *sync.Mutex {
	name := ""
	for _, r := range slices.Concat(tx.ExpectedRev, tx.Write, tx.Remove) {
		name = r.Part
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() + 1 }

// perform performs a transaction if its conditions hold.
func (s *store) perform(tx transaction) (uint64, []row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	ok := true
	for _, e := range tx.ExpectedRev {
		var actual uint64
		if r, found := s.rows[e.id()]; found {
			actual = *r.RowVersion
			current = append(current, r)
		}
		ok = ok && e.RowVersion != nil && *e.RowVersion == actual
	}
	if !ok {
		return s.version, current, false
	}
	s.apply(tx.Write, tx.Remove)
	return s.version, []row{}, true
}

// apply writes rows as one version. The caller holds the lock.
func (s *store) apply(write, remove []row) {
	s.version++
	version := s.version
	for _, r := range write {
		r.RowVersion = &version
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		r.RowVersion, r.Deleted, r.Value = &version, true, ""
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a worker does; a nil value removes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := row{Table: table, Key: key}
	if value == nil {
		s.apply(nil, []row{r})
		return
	}
	r.Value = encode(value)
	s.apply([]row{r}, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("target") == "" || r.Key < q.Get("target")) {
			rows = append(rows, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	size, n := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= maxBytes) {
		size += len(rows[n].Value)
		n++
	}
	reply(w, map[string]any{"rows": rows[:n], "hasMore": n < len(rows), "rowVersion": version, "nowMs": s.now()})
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	parts := []string{}
	for _, r := range s.rows {
		if r.Table == q.Get("table") && !slices.Contains(parts, r.Part) && (q.Get("after") == "" || r.Part > q.Get("after")) {
			parts = append(parts, r.Part)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	reply(w, map[string]any{"parts": parts, "hasMore": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	over := false
	for {
		s.mu.Lock()
		rows := []row{}
		i, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, v uint64) int {
			if *r.RowVersion < v {
				return -1
			}
			return 1
		})
		for _, r := range s.history[i:] {
			if r.Table == q.Get("table") {
				rows = append(rows, r)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			reply(w, map[string]any{"rows": rows, "rowVersion": version, "nowMs": s.now()})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			over = true
		}
	}
}

func reply(w http.ResponseWriter, response any) {
	_ = json.NewEncoder(w).Encode(response)
}
