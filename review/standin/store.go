package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: rows, transactions and feeds, as PROTOCOL.md
// tells them. It loses nothing and answers at once.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version int64
	changed chan struct{}
	start   time.Time
	conns   map[string]bool // remote addresses of the channels that have carried a call
	silent  map[string]bool // those that have gone silent for good
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), start: time.Now(), conns: map[string]bool{}, silent: map[string]bool{}}
}

func name(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes rows as the operator or an engine does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[name(table, "", key)] = row{Table: table, Key: key, Value: value, Version: s.version}
	s.wake()
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[name(table, "", key)] = row{Table: table, Key: key, Version: s.version, Deleted: true}
	s.wake()
}

// silence makes all channels that are open now silent for good; new ones work.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.silent[c] = true
	}
	s.wake()
}

// isSilent reports whether a channel has gone silent.
func (s *store) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[r.RemoteAddr] = true
	return s.silent[r.RemoteAddr]
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list(table, "", -1, false))
}

// list returns rows of a table newer than a version, ordered by key.
func (s *store) list(table, part string, after int64, deleted bool) []row {
	all := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Version > after && (deleted || !r.Deleted) {
			all = append(all, r)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	text, _ := json.Marshal(map[string]any{
		"rows": rows, "hasMore": false, "rowVersion": s.version, "nowMs": time.Since(s.start).Milliseconds() + 1,
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// ServeHTTP serves the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		rows := s.list(q.Get("table"), q.Get("part"), -1, false)
		kept := rows[:0]
		for _, each := range rows {
			if each.Key >= q.Get("from") && (q.Get("to") == "" || each.Key < q.Get("to")) {
				kept = append(kept, each)
			}
		}
		s.answer(w, http.StatusOK, kept)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		if s.isSilent(r) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		rows := s.list(q.Get("table"), "", after, true)
		changed := s.changed
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-end:
		}
		if s.isSilent(r) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answer(w, http.StatusOK, nil)
		return
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expectedRevision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range append(append([]row{}, body.Puts...), body.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	fits := true
	for _, e := range body.Expected {
		r := s.rows[name(e.Table, e.Part, e.Key)]
		version := r.Version
		if r.Deleted {
			version = 0
		}
		fits = fits && version == e.Version
		if version > 0 {
			current = append(current, r)
		}
	}
	if !fits {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.version++
	for _, p := range body.Puts {
		p.Version, p.Deleted = s.version, false
		s.rows[name(p.Table, p.Part, p.Key)] = p
	}
	for _, p := range body.Remove {
		p.Version, p.Deleted, p.Value = s.version, true, nil
		s.rows[name(p.Table, p.Part, p.Key)] = p
	}
	s.wake()
	s.answer(w, http.StatusOK, nil)
}

// join joins words with a separator.
func join(words []string, separator string) string { return strings.Join(words, separator) }
