// Package transactor is the stand-in of the platform's transactional table
// service.
//
// # Usage
//
//	t := transactor.New()
//	http.ListenAndServe(address, t.Faults.Wrap(t.Handler()))
//
// The service implements the protocol of bamboohill/core/storer, reports the
// numbers of its reads and writes at /table/counts and keeps its rows in
// memory. A table opened with a journal appends each transaction to that file
// before it responds. After a kill and a restart it has the rows of every
// transaction that it acknowledged.
//
// The fault late delays each commit that writes the desired state of an engine
// until the fault is turned off. The commit then takes effect if its checks
// still hold, even if its sender has disconnected.
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

// Counts holds the numbers of calls since the service's start.
type Counts struct {
	Reads        int64 `json:"reads"`
	Writes       int64 `json:"writes"`
	DesiredReads int64 `json:"wanted"` // reads of one engine's desired state, included in Reads
	HeldOrders   int64 `json:"late"`   // commits that HoldOrders is delaying now
}

// HoldOrders is the fault that delays commits of engines' desired states.
const HoldOrders = "late"

// desiredPrefix is the key prefix of the rows with the desired states of
// engines.
const desiredPrefix = "order/want/"

// holdPoll is the interval at which a delayed commit checks whether the fault is
// still on.
const holdPoll = 5 * time.Millisecond

// Table is a table service.
type Table struct {
	Faults *injector.Faults

	mu     sync.Mutex
	rows   map[string]storer.Row
	counts Counts

	journal *os.File // nil if the rows are in memory only
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

// scanRows returns at most limit rows whose keys start with prefix and sort
// behind after, in order of their keys.
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

// holdOrder blocks a commit that writes a desired state while the fault late is
// on.
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

// Commit applies a transaction. It returns a *storer.ConflictError if a check
// of the transaction fails.
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
