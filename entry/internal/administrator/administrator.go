// Package administrator is the operators' interface of an entry: JSON over
// HTTP, with keys apart from the callers'.
//
// # Usage
//
//	a := administrator.New(administrator.Config{Keeper: k, Gossiper: g, Operators: operators})
//	http.ListenAndServe(address, a.Handler())
//
// Rows are the JSON form of the messages in package wire. Every change, made
// or refused, writes one audit line to the log. docs/API-admin.md describes
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

// Administrator serves operators.
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
		"GET /admin/in-force":                         {settings.Read, a.inForce},
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, q *http.Request) {
			if operator, ok := a.allow(w, q, call.role); ok {
				call.do(w, q, operator)
			}
		})
	}
	mux.HandleFunc("/admin/", func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusNotFound, Failure{Code: "no_call", Message: "there is no such call"})
	})
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

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// allow returns the operator of a call, or answers it with a refusal.
func (a *Administrator) allow(w http.ResponseWriter, q *http.Request, role string) (settings.Operator, bool) {
	key, found := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	i := slices.IndexFunc(a.config.Operators, func(o settings.Operator) bool { return strings.EqualFold(o.Hash, hash) })
	if i < 0 || !found {
		fail(w, http.StatusUnauthorized, Failure{Code: "bad_key", Message: "operator key is not in force"})
		return settings.Operator{}, false
	}
	o := a.config.Operators[i]
	if role == settings.Write && o.Role != settings.Write {
		a.audit(o.Name, q.Method+" "+q.URL.Path, "", "bad_role", 0)
		fail(w, http.StatusForbidden, Failure{Code: "bad_role", Message: "operator " + o.Name + " may only read"})
		return o, false
	}
	if !a.config.Keeper.Ready() {
		w.Header().Set("Retry-After", "1")
		fail(w, http.StatusServiceUnavailable, Failure{Code: "not_ready", Message: "this entry has no configuration yet; ask another"})
		return o, false
	}
	return o, true
}

// audit writes the line of one change that an operator asked for.
func (a *Administrator) audit(operator, key, id, outcome string, sequence uint64) {
	a.config.Log.Info().Str("event", "audit").Str("operator", operator).Str("key", key).Str("change", id).
		Str("outcome", outcome).Uint64("sequence", sequence).Msg("")
}
