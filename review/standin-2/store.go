package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store. A removed row is kept, for the feed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: tables with rows, transactions, ranges and
// feeds, as PROTOCOL.md tells them, with the header Store-Era of the news page.
type store struct {
	address string
	server  *http.Server
	start   time.Time

	mu      sync.Mutex
	rows    map[string]row // by table and key
	version int64
	era     int64
	changed chan struct{}
	away    bool
	conns   map[net.Conn]bool
}

func newStore(era int64) (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), start: time.Now(), rows: map[string]row{}, era: era,
		changed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /rows-get", s.serveRange)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	s.server = &http.Server{Handler: mux, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = true
			if s.away {
				reset(c)
			}
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go s.server.Serve(l)
	return s, nil
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// put writes a row and returns its version.
func (s *store) put(table, key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"|"+key] = row{Table: table, Key: key, Value: text, Version: s.version}
	s.announce()
	return s.version
}

// register writes a server's row, which changes only when more than its sequence changes.
func (s *store) register(id string, value map[string]any) {
	s.mu.Lock()
	old, found := s.rows["servers|"+id]
	s.mu.Unlock()
	if found && !old.Deleted {
		var was map[string]any
		text, err := json.Marshal(value)
		if err == nil && json.Unmarshal(old.Value, &was) == nil {
			var is map[string]any
			mustHave(json.Unmarshal(text, &is) == nil, "a registration")
			delete(was, "sequence")
			delete(is, "sequence")
			if reflect.DeepEqual(was, is) {
				return
			}
		}
	}
	s.put("servers", id, value)
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(table, key)
}

func (s *store) removeLocked(table, key string) {
	if r, found := s.rows[table+"|"+key]; found && !r.Deleted {
		s.version++
		s.rows[table+"|"+key] = row{Table: table, Key: key, Version: s.version, Deleted: true}
		s.announce()
	}
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyOf is a copy of the rows at one time.
type copyOf struct {
	rows    map[string]row
	version int64
}

func (s *store) copy() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOf{rows: map[string]row{}, version: s.version}
	for k, r := range s.rows {
		c.rows[k] = r
	}
	return c
}

// drill makes the store go away for a time and come back from a copy.
func (s *store) drill(c copyOf, away time.Duration) {
	s.mu.Lock()
	s.away = true
	for conn := range s.conns {
		reset(conn)
	}
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	s.rows, s.version, s.away = c.rows, c.version, false
	s.era++
	s.announce()
	s.mu.Unlock()
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// keys returns the keys of a table that are there.
func (s *store) keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, r := range s.rows {
		if r.Table == table && !r.Deleted {
			all = append(all, r.Key)
		}
	}
	sort.Strings(all)
	return all
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	body := map[string]any{"rowVersion": s.version, "nowMs": time.Since(s.start).Milliseconds()}
	if rows != nil {
		body["rows"], body["hasMore"] = rows, more
	}
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRevision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		have := s.rows[e.Table+"|"+e.Key]
		if have.Deleted {
			have.Version = 0
		}
		if have.Version != e.Version {
			s.answer(w, http.StatusPreconditionFailed, []row{have}, false)
			return
		}
	}
	for _, p := range append(append([]row{}, tx.Puts...), tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, p := range tx.Puts {
		s.rows[p.Table+"|"+p.Key] = row{Table: p.Table, Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, p := range tx.Remove {
		if have, found := s.rows[p.Table+"|"+p.Key]; found && !have.Deleted {
			s.rows[p.Table+"|"+p.Key] = row{Table: p.Table, Key: p.Key, Version: s.version, Deleted: true}
		}
	}
	s.announce()
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, one := range s.rows {
		if one.Table == q.Get("table") && !one.Deleted && one.Key >= q.Get("from") && (q.Get("to") == "" || one.Key < q.Get("to")) {
			rows = append(rows, one)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	const most = 500
	more := len(rows) > most
	if more {
		rows = rows[:most]
	}
	s.answer(w, http.StatusOK, rows, more)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if after > s.version {
			s.answer(w, http.StatusGone, nil, false)
			s.mu.Unlock()
			return
		}
		rows := []row{}
		for _, one := range s.rows {
			if one.Table == q.Get("table") && one.Version > after {
				rows = append(rows, one)
			}
		}
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			s.mu.Lock()
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
	}
}

// registration is a server's row.
func registration(service, address, zone, state string, slots int, cold time.Duration, sequence int, born time.Time) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
		"coldRemainingMs": cold.Milliseconds(), "sequence": sequence, "born": born.UnixMilli(),
		"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
}

func mustHave(ok bool, format string, a ...any) {
	if !ok {
		panic(strings.TrimSpace(fmt.Sprintf(format, a...)))
	}
}
