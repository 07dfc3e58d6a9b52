package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/keeper"
	"bamboohill/core/storer"
	"bamboohill/entry/internal/settings"
	"bamboohill/wire"

	"google.golang.org/protobuf/encoding/protojson"
)

// Headers of the administration API.
const (
	IDHeader       = "Change-Id"
	SequenceHeader = "Bamboohill-Sequence"
)

// Bounds of one call.
const (
	maxRow      = 1 << 20          // bytes
	readLimit   = time.Second      // to confirm that what is shown is the newest
	spreadLimit = 30 * time.Second // of the work that follows a change
	keyTries    = 5                // of a change that reads a row and writes it back
)

// Row is one row as operators see it.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Record  json.RawMessage `json:"record"`
}

func encodeRow(row *wire.Row) Row {
	record, err := protojson.Marshal(row.GetRecord())
	if row.GetRecord() == nil || err != nil {
		record = []byte("null")
	}
	return Row{Key: row.GetKey(), Version: row.GetVersion(), Record: record}
}

// newest returns the configuration, read anew if the store or a peer answers
// soon, and tells the operator its sequence number.
func (a *Administrator) newest(w http.ResponseWriter, q *http.Request) *keeper.State {
	ctx, cancel := context.WithTimeout(q.Context(), readLimit)
	defer cancel()
	a.config.Keeper.Refresh(ctx)
	s := a.config.Keeper.State()
	w.Header().Set(SequenceHeader, strconv.FormatUint(s.Sequence, 10))
	return s
}

func (a *Administrator) list(w http.ResponseWriter, q *http.Request, _ settings.Operator) {
	kind := q.PathValue("kind")
	if !slices.Contains(keeper.Kinds, kind) {
		fail(w, http.StatusNotFound, Failure{Code: "no_kind", Message: "kind must be one of " + strings.Join(keeper.Kinds, ", ")})
		return
	}
	rows := []Row{}
	for _, row := range a.newest(w, q).Rows(kind) {
		rows = append(rows, encodeRow(row))
	}
	answer(w, rows)
}

func (a *Administrator) get(w http.ResponseWriter, q *http.Request, _ settings.Operator) {
	row := a.newest(w, q).Row(q.PathValue("kind") + "/" + q.PathValue("name"))
	if row == nil {
		fail(w, http.StatusNotFound, Failure{Code: "no_row", Message: "there is no such row"})
		return
	}
	w.Header().Set("ETag", strconv.FormatUint(row.GetVersion(), 10))
	answer(w, encodeRow(row))
}

// Committed is the answer to a change.
type Committed struct {
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	ID       string `json:"id"`
}

func (a *Administrator) put(w http.ResponseWriter, q *http.Request, operator settings.Operator) {
	p, err := proposal(w, q, operator.Name)
	if err == nil {
		err = check(a.facts(), p.Key, p.Record, q.URL.Query().Get("unknown") == "allow")
	}
	if err != nil {
		a.audit(operator.Name, p.Key, p.ID, "bad_row", 0)
		fail(w, http.StatusBadRequest, Failure{Code: "bad_row", Message: err.Error()})
		return
	}
	a.commit(w, q, p)
}

// commit makes a change and answers the operator.
func (a *Administrator) commit(w http.ResponseWriter, q *http.Request, p keeper.Proposal) {
	w.Header().Set(IDHeader, p.ID)
	change, err := a.config.Keeper.Commit(q.Context(), p)
	if err != nil {
		a.audit(p.Author, p.Key, p.ID, refuse(w, err), 0)
		return
	}
	a.audit(p.Author, p.Key, p.ID, "committed", change.GetSequence())
	go a.spread(change.GetSequence())
	answer(w, Committed{Sequence: change.GetSequence(), Version: change.GetVersion(), ID: p.ID})
}

// spread tells the other processes of a change and writes the snapshot that
// has come due.
func (a *Administrator) spread(sequence uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), spreadLimit)
	defer cancel()
	a.config.Gossiper.PushEntries(ctx)
	if err := a.config.Keeper.Archive(ctx, sequence); err != nil {
		a.config.Log.Warn().Str("event", "archive").Err(err).Msg("")
	}
}

var (
	errKind    = errors.New("kind must be account, plan, domain, vm or pardon, and the record of that kind and name")
	errVersion = errors.New("If-Match must be the row's version, 0 for a row that is absent")
	errRecord  = errors.New("the body must be a record in JSON")
)

// proposal reads a change from a call.
func proposal(w http.ResponseWriter, q *http.Request, author string) (keeper.Proposal, error) {
	kind, name := q.PathValue("kind"), q.PathValue("name")
	p := keeper.Proposal{ID: changeID(q), Author: author, Key: kind + "/" + name}
	var err error
	if p.Version, p.Force, err = version(q); err != nil {
		return p, err
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
		return p, errors.Join(errRecord, err)
	}
	if recordKey(p.Record) != p.Key {
		return p, errKind
	}
	return p, nil
}

func changeID(q *http.Request) string {
	if id := q.Header.Get(IDHeader); id != "" {
		return id
	}
	return identifier.New[string]()
}

// version returns the row version that the operator saw; force is set if the
// call names none.
func version(q *http.Request) (number uint64, force bool, err error) {
	text := q.Header.Get("If-Match")
	if text == "" {
		return 0, true, nil
	}
	number, err = strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, false, errVersion
	}
	return number, false, nil
}

// recordKey returns the key KIND/NAME under which a record belongs.
func recordKey(r *wire.Record) string {
	switch v := r.GetValue().(type) {
	case *wire.Record_Account:
		return keeper.KindAccount + "/" + v.Account.GetName()
	case *wire.Record_Plan:
		return keeper.KindPlan + "/" + v.Plan.GetName()
	case *wire.Record_Domain:
		return keeper.KindDomain + "/" + v.Domain.GetName()
	case *wire.Record_Vm:
		return keeper.KindVM + "/" + v.Vm.GetName()
	case *wire.Record_Pardon:
		return keeper.KindPardon + "/" + v.Pardon.GetFingerprint()
	}
	return ""
}

// refuse answers a change that was not made, or may have been, and returns the
// failure's code.
func refuse(w http.ResponseWriter, err error) string {
	var race *keeper.VersionConflictError
	if errors.As(err, &race) {
		row := encodeRow(&wire.Row{Key: race.Key, Version: race.Version, Record: race.Record})
		fail(w, http.StatusConflict, Failure{
			Code: "conflict", Message: "another change went before", Version: race.Version, Author: race.Author, Row: row.Record,
		})
		return "conflict"
	}
	var down *storer.UnavailableError
	if errors.As(err, &down) {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(time.Second, down.RetryAfter).Seconds())))
		fail(w, http.StatusServiceUnavailable, Failure{Code: "store_down", Message: "nothing was changed"})
		return "store_down"
	}
	fail(w, http.StatusGatewayTimeout, Failure{Code: "unknown", Message: "the change may have been made; ask again with the same " + IDHeader})
	return "unknown"
}
