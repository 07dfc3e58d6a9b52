// Package administrator is the operators' interface of an entry: JSON over
// HTTP, with keys apart from the callers'.
//
// # Usage
//
//	a := administrator.New(administrator.Config{Keeper: k, Table: t, Operators: operators})
//	http.ListenAndServe(address, a.Handler())
//
// Rows are the JSON form of the messages in package wire. Every change writes
// one audit line to the log.
package administrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboohill/core/ider"
	"bamboohill/core/keeper"
	"bamboohill/core/storer"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/gossiper"
	"bamboohill/entry/internal/settings"
	"bamboohill/wire"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/encoding/protojson"
)

// maxRow is the largest row in bytes.
const maxRow = 1 << 20

// Config describes an Administrator.
type Config struct {
	Keeper    *keeper.Keeper
	Watcher   *watcher.Watcher
	Gossiper  *gossiper.Gossiper
	Operators []settings.Operator
	Log       *log.Logger
}

// Administrator serves operators.
type Administrator struct {
	config Config
}

// New returns an administrator.
func New(config Config) *Administrator { return &Administrator{config: config} }

// Handler returns the HTTP interface.
func (a *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/rows/{kind}", a.list)
	mux.HandleFunc("GET /admin/rows/{kind}/{name}", a.get)
	mux.HandleFunc("PUT /admin/rows/{kind}/{name}", a.put)
	mux.HandleFunc("DELETE /admin/rows/{kind}/{name}", a.put)
	mux.HandleFunc("GET /admin/status", a.status)
	return mux
}

// Failure is an error object as operators see it.
type Failure struct {
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Version uint64          `json:"version,omitempty"` // of the row that won
	Author  string          `json:"author,omitempty"`
	Row     json.RawMessage `json:"row,omitempty"`
}

func fail(w http.ResponseWriter, status int, f Failure) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(struct {
		Error Failure `json:"error"`
	}{f})
}

// allow returns the operator of a call, or answers it with a refusal.
func (a *Administrator) allow(w http.ResponseWriter, q *http.Request, role string) (settings.Operator, bool) {
	key, _ := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	i := slices.IndexFunc(a.config.Operators, func(o settings.Operator) bool { return o.Hash == hash })
	if i < 0 {
		fail(w, http.StatusUnauthorized, Failure{Code: "bad_key", Message: "operator key is not in force"})
		return settings.Operator{}, false
	}
	o := a.config.Operators[i]
	if role == settings.Write && o.Role != settings.Write {
		fail(w, http.StatusForbidden, Failure{Code: "bad_role", Message: "operator may only read"})
		return o, false
	}
	return o, true
}

// Row is one row as operators see it.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Record  json.RawMessage `json:"record"`
}

func encodeRow(row *wire.Row) Row {
	record, err := protojson.Marshal(row.GetRecord())
	if err != nil {
		record = []byte("null")
	}
	return Row{Key: row.GetKey(), Version: row.GetVersion(), Record: record}
}

func (a *Administrator) list(w http.ResponseWriter, q *http.Request) {
	if _, ok := a.allow(w, q, settings.Read); !ok {
		return
	}
	rows := []Row{}
	for _, row := range a.config.Keeper.State().Rows(q.PathValue("kind")) {
		rows = append(rows, encodeRow(row))
	}
	answer(w, rows)
}

func (a *Administrator) get(w http.ResponseWriter, q *http.Request) {
	if _, ok := a.allow(w, q, settings.Read); !ok {
		return
	}
	row := a.config.Keeper.State().Row(q.PathValue("kind") + "/" + q.PathValue("name"))
	if row == nil {
		fail(w, http.StatusNotFound, Failure{Code: "no_row", Message: "there is no such row"})
		return
	}
	answer(w, encodeRow(row))
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// Committed is the answer to a change.
type Committed struct {
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	ID       string `json:"id"`
}

func (a *Administrator) put(w http.ResponseWriter, q *http.Request) {
	operator, ok := a.allow(w, q, settings.Write)
	if !ok {
		return
	}
	p, err := proposal(w, q, operator.Name)
	if err != nil {
		fail(w, http.StatusBadRequest, Failure{Code: "bad_row", Message: err.Error()})
		return
	}
	change, err := a.config.Keeper.Commit(q.Context(), p)
	if err != nil {
		refuse(w, err)
		return
	}
	a.config.Log.Info().Str("event", "audit").Str("operator", operator.Name).Str("key", p.Key).Str("change", p.ID).
		Uint64("sequence", change.GetSequence()).Msg("")
	go a.spread(change.GetSequence())
	answer(w, Committed{Sequence: change.GetSequence(), Version: change.GetVersion(), ID: change.GetId()})
}

// spread tells the other processes of a change and writes the snapshot that
// has come due.
func (a *Administrator) spread(sequence uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), spreadLimit)
	defer cancel()
	a.config.Gossiper.Spread(ctx)
	if err := a.config.Keeper.Archive(ctx, sequence); err != nil {
		a.config.Log.Warn().Str("event", "archive").Err(err).Msg("")
	}
}

// spreadLimit bounds the work that follows a change.
const spreadLimit = 30 * time.Second

var errKind = errors.New("administrator: kind must be account, plan, domain, vm or pardon, and the record of that kind")

func proposal(w http.ResponseWriter, q *http.Request, author string) (keeper.Proposal, error) {
	kind, name := q.PathValue("kind"), q.PathValue("name")
	p := keeper.Proposal{ID: q.Header.Get("Change-Id"), Author: author, Key: kind + "/" + name, Force: true}
	if p.ID == "" {
		p.ID = ider.New[string]()
	}
	if text := q.Header.Get("If-Match"); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return p, err
		}
		p.Version = version
		p.Force = false
	}
	if !slices.Contains(keeper.Kinds, kind) {
		return p, errKind
	}
	if q.Method == http.MethodDelete {
		return p, nil
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxRow))
	if err != nil {
		return p, err
	}
	p.Record = &wire.Record{}
	if err := protojson.Unmarshal(text, p.Record); err != nil {
		return p, err
	}
	if recordKind(p.Record) != kind || recordName(p.Record) != name {
		return p, errKind
	}
	return p, nil
}

func recordKind(r *wire.Record) string {
	switch r.GetValue().(type) {
	case *wire.Record_Account:
		return keeper.KindAccount
	case *wire.Record_Plan:
		return keeper.KindPlan
	case *wire.Record_Domain:
		return keeper.KindDomain
	case *wire.Record_Vm:
		return keeper.KindVM
	case *wire.Record_Pardon:
		return keeper.KindPardon
	}
	return ""
}

func recordName(r *wire.Record) string {
	switch v := r.GetValue().(type) {
	case *wire.Record_Account:
		return v.Account.GetName()
	case *wire.Record_Plan:
		return v.Plan.GetName()
	case *wire.Record_Domain:
		return v.Domain.GetName()
	case *wire.Record_Vm:
		return v.Vm.GetName()
	case *wire.Record_Pardon:
		return v.Pardon.GetFingerprint()
	}
	return ""
}

func refuse(w http.ResponseWriter, err error) {
	var race *keeper.RaceError
	if errors.As(err, &race) {
		row := encodeRow(&wire.Row{Key: race.Key, Version: race.Version, Record: race.Record})
		fail(w, http.StatusConflict, Failure{Code: "conflict", Message: "another change went before", Version: race.Version, Author: race.Author, Row: row.Record})
		return
	}
	var down *storer.DownError
	if errors.As(err, &down) {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(time.Second, down.Retry).Seconds())))
		fail(w, http.StatusServiceUnavailable, Failure{Code: "store_down", Message: "nothing was changed"})
		return
	}
	fail(w, http.StatusGatewayTimeout, Failure{Code: "unknown", Message: "ask again with the same Change-Id: " + err.Error()})
}

// Status is what an entry knows of the system.
type Status struct {
	Sequence uint64         `json:"sequence"`
	Servers  []ServerStatus `json:"servers"`
}

// ServerStatus is what an entry knows of one backend server.
type ServerStatus struct {
	Server   string `json:"server"`
	VM       string `json:"vm"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	Running  int32  `json:"running"`
	Limit    int32  `json:"limit"`
	Free     int64  `json:"free"`
	Sequence uint64 `json:"sequence"`
}

func (a *Administrator) status(w http.ResponseWriter, q *http.Request) {
	if _, ok := a.allow(w, q, settings.Read); !ok {
		return
	}
	s := Status{Sequence: a.config.Keeper.State().Sequence, Servers: []ServerStatus{}}
	for _, v := range a.config.Watcher.View().Servers {
		s.Servers = append(s.Servers, ServerStatus{
			Server: v.GetServer(), VM: v.GetVm(), Domain: v.GetDomain(), State: v.GetState().String(),
			Running: v.GetRunning(), Limit: v.GetLimit(), Free: v.GetFree(), Sequence: v.GetSequence(),
		})
	}
	answer(w, s)
}
