package administrator

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"bamboohill/core/keeper"
	"bamboohill/entry/internal/settings"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// NewKey is the body of a call that adds a caller key. The call has only
// the hash of the key, so that the key itself stays with the operator.
type NewKey struct {
	Hash string `json:"hash"` // SHA-256 of the key in hexadecimal
}

func (a *Administrator) addKey(w http.ResponseWriter, q *http.Request, operator settings.Operator) {
	var body NewKey
	err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxRowBytes)).Decode(&body)
	hash, hashErr := hex.DecodeString(body.Hash)
	if err != nil || hashErr != nil || len(hash) != keyBytes {
		writeFailure(w, http.StatusBadRequest, Failure{Code: "bad_row", Message: "hash must be a SHA-256 of 64 hexadecimal digits"})
		return
	}
	a.editKeys(w, q, operator, func(keys [][]byte) ([][]byte, error) {
		if slices.ContainsFunc(keys, func(k []byte) bool { return string(k) == string(hash) }) {
			return keys, nil
		}
		return append(keys, hash), nil
	})
}

func (a *Administrator) revokeKey(w http.ResponseWriter, q *http.Request, operator settings.Operator) {
	digits := strings.ToLower(q.PathValue("digits"))
	a.editKeys(w, q, operator, func(keys [][]byte) ([][]byte, error) {
		remaining := slices.DeleteFunc(slices.Clone(keys), func(k []byte) bool { return strings.HasPrefix(hex.EncodeToString(k), digits) })
		if len(digits) < keyDigits || len(remaining) != len(keys)-1 {
			return nil, fmt.Errorf("key %q is not one of the account's; give at least %d digits of its hash", digits, keyDigits)
		}
		return remaining, nil
	})
}

// editKeys applies an edit to the current keys of an account. If another change
// of the account is committed first, it repeats the edit on the new version, up
// to maxKeyAttempts times in all.
func (a *Administrator) editKeys(w http.ResponseWriter, q *http.Request, operator settings.Operator, edit func([][]byte) ([][]byte, error)) {
	p := keeper.Proposal{ID: changeID(q), Author: operator.Name, Key: keeper.KindAccount + "/" + q.PathValue("name")}
	for n := 1; ; n++ {
		row := a.refresh(w, q).Row(p.Key)
		if row == nil {
			writeFailure(w, http.StatusNotFound, Failure{Code: "no_row", Message: "there is no such account"})
			return
		}
		account, _ := proto.Clone(row.GetRecord().GetAccount()).(*wire.Account)
		keys, err := edit(account.GetKeys())
		account.Keys = keys
		p.Version = row.GetVersion()
		p.Record = &wire.Record{Value: &wire.Record_Account{Account: account}}
		if err == nil {
			err = validate(a.references(), p.Key, p.Record, false)
		}
		if err != nil {
			a.audit(operator.Name, p.Key, p.ID, "bad_row", 0)
			writeFailure(w, http.StatusBadRequest, Failure{Code: "bad_row", Message: err.Error()})
			return
		}
		change, err := a.config.Keeper.Commit(q.Context(), p)
		var conflict *keeper.VersionConflictError
		if errors.As(err, &conflict) && n < maxKeyAttempts {
			continue
		}
		w.Header().Set(IDHeader, p.ID)
		if err != nil {
			a.audit(operator.Name, p.Key, p.ID, writeCommitFailure(w, err), 0)
			return
		}
		a.audit(operator.Name, p.Key, p.ID, "committed", change.GetSequence())
		go a.propagate(change.GetSequence())
		writeJSON(w, Committed{Sequence: change.GetSequence(), Version: change.GetVersion(), ID: p.ID})
		return
	}
}
