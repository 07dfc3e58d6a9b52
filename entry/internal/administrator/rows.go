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

// Limits of one call.
const (
	maxRowBytes      = 1 << 20          // of a request body
	refreshTimeout   = time.Second      // for refreshing the configuration before a read
	propagateTimeout = 30 * time.Second // for pushing and archiving a change
	maxKeyAttempts   = 5                // of a change that reads and rewrites a row
)

// Row is a row as it is returned to operators.
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

// refresh returns the configuration, refreshed if the store or a peer answers
// within refreshTimeout, and sets the header with its sequence number.
func (a *Administrator) refresh(w http.ResponseWriter, q *http.Request) *keeper.State {
	ctx, cancel := context.WithTimeout(q.Context(), refreshTimeout)
	defer cancel()
	a.config.Keeper.Refresh(ctx)
	s := a.config.Keeper.State()
	w.Header().Set(SequenceHeader, strconv.FormatUint(s.Sequence, 10))
	return s
}

func (a *Administrator) list(w http.ResponseWriter, q *http.Request, _ settings.Operator) {
	kind := q.PathValue("kind")
	if !slices.Contains(keeper.Kinds, kind) {
		writeFailure(w, http.StatusNotFound, Failure{Code: "no_kind", Message: "kind must be one of " + strings.Join(keeper.Kinds, ", ")})
		return
	}
	rows := []Row{}
	for _, row := range a.refresh(w, q).Rows(kind) {
		rows = append(rows, encodeRow(row))
	}
	writeJSON(w, rows)
}

func (a *Administrator) get(w http.ResponseWriter, q *http.Request, _ settings.Operator) {
	row := a.refresh(w, q).Row(q.PathValue("kind") + "/" + q.PathValue("name"))
	if row == nil {
		writeFailure(w, http.StatusNotFound, Failure{Code: "no_row", Message: "there is no such row"})
		return
	}
	w.Header().Set("ETag", strconv.FormatUint(row.GetVersion(), 10))
	writeJSON(w, encodeRow(row))
}

// Committed is the response to a committed change.
type Committed struct {
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	ID       string `json:"id"`
}

func (a *Administrator) put(w http.ResponseWriter, q *http.Request, operator settings.Operator) {
	p, err := parseProposal(w, q, operator.Name)
	if err == nil {
		err = validate(a.references(), p.Key, p.Record, q.URL.Query().Get("unknown") == "allow")
	}
	if err != nil {
		a.audit(operator.Name, p.Key, p.ID, "bad_row", 0)
		writeFailure(w, http.StatusBadRequest, Failure{Code: "bad_row", Message: err.Error()})
		return
	}
	a.commit(w, q, p)
}

// commit commits a change and writes the response.
func (a *Administrator) commit(w http.ResponseWriter, q *http.Request, p keeper.Proposal) {
	w.Header().Set(IDHeader, p.ID)
	change, err := a.config.Keeper.Commit(q.Context(), p)
	if err != nil {
		a.audit(p.Author, p.Key, p.ID, writeCommitFailure(w, err), 0)
		return
	}
	a.audit(p.Author, p.Key, p.ID, "committed", change.GetSequence())
	go a.propagate(change.GetSequence())
	writeJSON(w, Committed{Sequence: change.GetSequence(), Version: change.GetVersion(), ID: p.ID})
}

// propagate pushes a change to the other processes and writes a snapshot if one
// is due.
func (a *Administrator) propagate(sequence uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), propagateTimeout)
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

// parseProposal reads a proposed change from a request.
func parseProposal(w http.ResponseWriter, q *http.Request, author string) (keeper.Proposal, error) {
	kind, name := q.PathValue("kind"), q.PathValue("name")
	p := keeper.Proposal{ID: changeID(q), Author: author, Key: kind + "/" + name}
	var err error
	if p.Version, p.Force, err = parseVersion(q); err != nil {
		return p, err
	}
	if !slices.Contains(keeper.Kinds, kind) {
		return p, errKind
	}
	if q.Method == http.MethodDelete {
		return p, nil
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxRowBytes))
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

// parseVersion returns the row version that the operator last read. It sets
// force if the request has none.
func parseVersion(q *http.Request) (number uint64, force bool, err error) {
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

// recordKey returns the key KIND/NAME of a record, "" if it has no value.
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

// writeCommitFailure writes the failure for a change that was not committed, or
// whose outcome is unknown, and returns its code.
func writeCommitFailure(w http.ResponseWriter, err error) string {
	var conflict *keeper.VersionConflictError
	if errors.As(err, &conflict) {
		row := encodeRow(&wire.Row{Key: conflict.Key, Version: conflict.Version, Record: conflict.Record})
		writeFailure(w, http.StatusConflict, Failure{
			Code: "conflict", Message: "another change went before", Version: conflict.Version, Author: conflict.Author, Row: row.Record,
		})
		return "conflict"
	}
	var unavailable *storer.UnavailableError
	if errors.As(err, &unavailable) {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(time.Second, unavailable.RetryAfter).Seconds())))
		writeFailure(w, http.StatusServiceUnavailable, Failure{Code: "store_down", Message: "nothing was changed"})
		return "store_down"
	}
	writeFailure(w, http.StatusGatewayTimeout, Failure{Code: "unknown", Message: "the change may have been made; ask again with the same " + IDHeader})
	return "unknown"
}
