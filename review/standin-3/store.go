package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store, of which it has the calls that entries make.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version int64
	era     int64
	changed chan struct{}
	fault   string // "", "busy" or "silent"
	address string
}

func newStore() *store {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), era: 1}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: " + err.Error())
	}
	s.address = l.Addr().String()
	go http.Serve(l, s)
	return s
}

func name(table, key string) string { return table + "\x00\x00" + key }

// put writes a row. A row with the same value stays as it is.
func (s *store) put(table, key string, value []byte) time.Time {
	return s.write(row{Table: table, Key: key, Value: value})
}

func (s *store) remove(table, key string) time.Time {
	return s.write(row{Table: table, Key: key, Deleted: true})
}

// write applies rows and returns the time of the acknowledgement.
func (s *store) write(rows ...row) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) setFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	close(s.changed)
	s.changed = make(chan struct{})
}

// state is the state of a store at one moment.
type state struct {
	rows    map[string]row
	version int64
}

func (s *store) copy() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state{rows: maps.Clone(s.rows), version: s.version}
}

// restore makes the store come back from a copy, as if what was written since had never been.
// Its versions are given out again.
func (s *store) restore(from state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(from.rows), from.version
	s.era++
	s.fault = ""
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) newer(table string, version int64, deleted bool) []row {
	all := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > version && (deleted || !r.Deleted) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return all
}

func (s *store) reply(w http.ResponseWriter, rows []row, version int64) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "rowVersion": version, "nowMs": time.Since(began).Milliseconds() + 1_000_000})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	switch fault {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "silent":
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/rows-get":
		s.mu.Lock()
		rows, version := s.newer(r.FormValue("table"), -1, false), s.version
		s.mu.Unlock()
		rows = slices.DeleteFunc(rows, func(one row) bool { return one.Key < r.FormValue("from") })
		s.reply(w, rows, version)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		var body struct {
			Puts   []row `json:"puts"`
			Remove []row `json:"remove"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for i := range body.Remove {
			body.Remove[i].Deleted = true
		}
		s.write(append(body.Puts, body.Remove...)...)
		s.mu.Lock()
		version := s.version
		s.mu.Unlock()
		s.reply(w, []row{}, version)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		rows, version, changed, fault := s.newer(r.FormValue("table"), after, true), s.version, s.changed, s.fault
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if after > version { // of before the store came back
			w.WriteHeader(http.StatusGone)
			return
		}
		if fault != "" {
			panic(http.ErrAbortHandler)
		}
		if len(rows) > 0 || over {
			s.reply(w, rows, version)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end.C:
			over = true
		case <-changed:
		}
	}
}
