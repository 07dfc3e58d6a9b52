// Package transactor is the stand-in of the platform's transactional table
// service.
//
// # Usage
//
//	t := transactor.New()
//	http.ListenAndServe(address, t.Faults.Wrap(t.Handler()))
//
// The fault late holds each commit of an order to an engine back until it is
// off again; it then takes effect if its checks still hold, whatever became of
// its sender.
//
// It serves the format that bamboohill/core/storer reads, counts its reads and
// writes at /table/counts and keeps its rows in memory. One that is
// opened on a journal appends each transaction to that file before it answers,
// and when it is killed and opened again it has every row that it answered for.
package transactor

import (
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bamboohill/core/storer"
	"bamboohill/standin/injector"
)

// Counts is how many calls the service has run since its start.
type Counts struct {
	Reads        int64 `json:"reads"`
	Writes       int64 `json:"writes"`
	DesiredReads int64 `json:"wanted"` // of the reads, those of one wanted state of an engine
	HeldOrders   int64 `json:"late"`   // commits held back now
}

// HoldOrders is the fault that holds orders back.
const HoldOrders = "late"

// desiredPrefix is of the wanted states of engines, which Late is about.
const desiredPrefix = "order/want/"

// holdPoll is how often a commit that is held back looks whether it may go on.
const holdPoll = 5 * time.Millisecond

// Table is the service.
type Table struct {
	Faults *injector.Faults

	mu     sync.Mutex
	rows   map[string]storer.Row
	counts Counts

	journal *os.File // nil if none is kept
}

// New returns an empty table.
func New() *Table {
	return &Table{Faults: injector.New(), rows: map[string]storer.Row{}}
}

// Handler returns the HTTP interface.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", t.row)
	mux.HandleFunc("GET /table/scan", t.scan)
	mux.HandleFunc("POST /table/commit", t.commit)
	mux.HandleFunc("GET /table/counts", t.count)
	return mux
}

func (t *Table) row(w http.ResponseWriter, q *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	key := q.FormValue("key")
	if strings.HasPrefix(key, desiredPrefix) {
		t.counts.DesiredReads++
	}
	row, found := t.rows[key]
	if !found {
		row.Key = key
	}
	json.NewEncoder(w).Encode(row)
}

func (t *Table) scan(w http.ResponseWriter, q *http.Request) {
	limit, err := strconv.Atoi(q.FormValue("limit"))
	if err != nil {
		http.Error(w, "bad limit", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	json.NewEncoder(w).Encode(t.scanRows(q.FormValue("prefix"), q.FormValue("after"), limit))
}

func (t *Table) scanRows(prefix, after string, limit int) []storer.Row {
	rows := []storer.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))]
}

func (t *Table) commit(w http.ResponseWriter, q *http.Request) {
	var txn storer.Txn
	if err := json.NewDecoder(q.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.holdOrder(txn)
	if conflict := t.Commit(txn); conflict != nil {
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(conflict)
	}
}

// holdOrder holds a commit back while the fault late is on.
func (t *Table) holdOrder(txn storer.Txn) {
	if t.Faults.Get(HoldOrders) == 0 || !slices.ContainsFunc(txn.Puts, func(p storer.Put) bool { return strings.HasPrefix(p.Key, desiredPrefix) }) {
		return
	}
	t.addHeld(1)
	defer t.addHeld(-1)
	for t.Faults.Get(HoldOrders) != 0 {
		time.Sleep(holdPoll)
	}
}

func (t *Table) addHeld(n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.HeldOrders += n
}

// Commit applies a transaction, or returns a *storer.ConflictError.
func (t *Table) Commit(txn storer.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	if err := txn.Apply(t.rows); err != nil {
		return err
	}
	t.appendJournal(txn)
	return nil
}

func (t *Table) count(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	json.NewEncoder(w).Encode(t.counts)
}
