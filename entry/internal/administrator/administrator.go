// Package administrator serves the administration API of an entry: JSON over
// HTTP, for operators, whose keys are separate from those of callers.
//
// # Usage
//
//	a := administrator.New(administrator.Config{Keeper: k, Gossiper: g, Operators: operators})
//	http.ListenAndServe(address, a.Handler())
//
// Rows are the JSON form of the messages in package wire. Every change that is
// made or refused writes one audit line to the log. docs/API-admin.md describes
// the calls.
package administrator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"bamboohill/core/keeper"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/gossiper"
	"bamboohill/entry/internal/settings"

	"github.com/phuslu/log"
)

// Config describes an Administrator.
type Config struct {
	Keeper    *keeper.Keeper
	Watcher   *watcher.Watcher
	Gossiper  *gossiper.Gossiper
	Operators []settings.Operator
	Log       *log.Logger
}

// Administrator serves the administration API.
type Administrator struct {
	config Config
}

// New returns an administrator.
func New(config Config) *Administrator { return &Administrator{config: config} }

// Handler returns the HTTP interface.
func (a *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, call := range map[string]struct {
		role string
		do   func(http.ResponseWriter, *http.Request, settings.Operator)
	}{
		"GET /admin/rows/{kind}":                      {settings.Read, a.list},
		"GET /admin/rows/{kind}/{name}":               {settings.Read, a.get},
		"PUT /admin/rows/{kind}/{name}":               {settings.Write, a.put},
		"DELETE /admin/rows/{kind}/{name}":            {settings.Write, a.put},
		"POST /admin/accounts/{name}/keys":            {settings.Write, a.addKey},
		"DELETE /admin/accounts/{name}/keys/{digits}": {settings.Write, a.revokeKey},
		"GET /admin/status":                           {settings.Read, a.status},
		"GET /admin/in-force":                         {settings.Read, a.propagation},
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, q *http.Request) {
			if operator, ok := a.authorize(w, q, call.role); ok {
				call.do(w, q, operator)
			}
		})
	}
	mux.HandleFunc("/admin/", func(w http.ResponseWriter, _ *http.Request) {
		writeFailure(w, http.StatusNotFound, Failure{Code: "no_call", Message: "there is no such call"})
	})
	return mux
}

// Failure is an error as it is returned to operators.
type Failure struct {
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Version uint64          `json:"version,omitempty"` // of the conflicting row
	Author  string          `json:"author,omitempty"`
	Row     json.RawMessage `json:"row,omitempty"`
}

func writeFailure(w http.ResponseWriter, status int, f Failure) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(struct {
		Error Failure `json:"error"`
	}{f})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// authorize returns the operator who makes a call. If the key or the role does
// not permit the call it writes a failure and reports false.
func (a *Administrator) authorize(w http.ResponseWriter, q *http.Request, role string) (settings.Operator, bool) {
	key, found := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	i := slices.IndexFunc(a.config.Operators, func(o settings.Operator) bool { return strings.EqualFold(o.Hash, hash) })
	if i < 0 || !found {
		writeFailure(w, http.StatusUnauthorized, Failure{Code: "bad_key", Message: "operator key is not in force"})
		return settings.Operator{}, false
	}
	o := a.config.Operators[i]
	if role == settings.Write && o.Role != settings.Write {
		a.audit(o.Name, q.Method+" "+q.URL.Path, "", "bad_role", 0)
		writeFailure(w, http.StatusForbidden, Failure{Code: "bad_role", Message: "operator " + o.Name + " may only read"})
		return o, false
	}
	if !a.config.Keeper.Ready() {
		w.Header().Set("Retry-After", "1")
		writeFailure(w, http.StatusServiceUnavailable, Failure{Code: "not_ready", Message: "this entry has no configuration yet; ask another"})
		return o, false
	}
	return o, true
}

// audit logs a change that an operator requested, with its outcome and, if it
// was committed, its sequence number.
func (a *Administrator) audit(operator, key, id, outcome string, sequence uint64) {
	a.config.Log.Info().Str("event", "audit").Str("operator", operator).Str("key", key).Str("change", id).
		Str("outcome", outcome).Uint64("sequence", sequence).Msg("")
}
