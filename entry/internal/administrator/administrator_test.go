package administrator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"strings"
	"testing"

	"bamboohill/core/keeper"
	"bamboohill/core/storer"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/gossiper"
	"bamboohill/entry/internal/settings"

	"github.com/phuslu/log"
)

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TestAuthorize calls an entry that is not ready. A call that passes the checks
// of the operator's key and role fails with not_ready.
func TestAuthorize(t *testing.T) {
	k := keeper.New(keeper.Config{Table: storer.NewTable(storer.Config{Address: "127.0.0.1:1"})})
	defer k.Stop()
	w := watcher.New(watcher.Config{})
	defer w.Stop()
	for name, test := range map[string]struct {
		method, path, key string
		status            int
		code              string
		audited           bool
	}{
		"no key":                  {"GET", "/admin/status", "", 401, "bad_key", false},
		"wrong key":               {"GET", "/admin/status", "wrong", 401, "bad_key", false},
		"hash instead of key":     {"PUT", "/admin/rows/plan/p", hash("writes"), 401, "bad_key", false},
		"reader reads":            {"GET", "/admin/status", "reads", 503, "not_ready", false},
		"reader asks propagation": {"GET", "/admin/in-force", "reads", 503, "not_ready", false},
		"reader changes":          {"PUT", "/admin/rows/plan/p", "reads", 403, "bad_role", true},
		"reader deletes":          {"DELETE", "/admin/rows/plan/p", "reads", 403, "bad_role", true},
		"reader adds a key":       {"POST", "/admin/accounts/a/keys", "reads", 403, "bad_role", true},
		"reader revokes a key":    {"DELETE", "/admin/accounts/a/keys/0123456789ab", "reads", 403, "bad_role", true},
		"writer changes":          {"PUT", "/admin/rows/plan/p", "writes", 503, "not_ready", false},
		"writer calls nothing":    {"GET", "/admin/nothing", "writes", 404, "no_call", false},
		"writer uses bad method":  {"POST", "/admin/rows/plan/p", "writes", 404, "no_call", false},
	} {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			a := New(Config{
				Keeper: k, Watcher: w, Gossiper: gossiper.New(gossiper.Config{Keeper: k, Watcher: w}),
				Log: &log.Logger{Writer: &log.IOWriter{Writer: &lines}},
				Operators: []settings.Operator{
					{Name: "ana", Hash: hash("reads"), Role: settings.Read}, {Name: "tui", Hash: strings.ToUpper(hash("writes")), Role: settings.Write},
				},
			})
			q := httptest.NewRequestWithContext(t.Context(), test.method, test.path, strings.NewReader("{}"))
			if test.key != "" {
				q.Header.Set("Authorization", "Bearer "+test.key)
			}
			r := httptest.NewRecorder()
			a.Handler().ServeHTTP(r, q)
			if r.Code != test.status || !strings.Contains(r.Body.String(), `"code":"`+test.code+`"`) {
				t.Errorf("%d %s, want %d %s", r.Code, r.Body, test.status, test.code)
			}
			if got := strings.Contains(lines.String(), "audit"); got != test.audited {
				t.Errorf("audited %v, want %v: %s", got, test.audited, lines.String())
			}
			if test.key != "" && strings.Contains(lines.String()+r.Body.String(), test.key+`"`) {
				t.Error("the key is shown")
			}
		})
	}
}
