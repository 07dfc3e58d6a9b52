package runner

import (
	"bytes"
	"context"
	"encoding/pem"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// serve starts a stand-in for an entry and returns its address. It gives the same
// answer to every change and has no rows.
func serve(t *testing.T, status int, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Authorization") != "Bearer secret":
			w.WriteHeader(http.StatusUnauthorized)
			w.Write([]byte(`{"error":{"code":"bad_key","message":"no"}}`))
		case r.URL.Path == "/admin/in-force":
			w.Write([]byte(`{"sequence":3,"entries":{"in_force":2,"total":2,"behind":[]},` +
				`"sidecars":{"in_force":6,"total":7,"behind":[{"name":"engine4","sequence":2,"silent":false}]}}`))
		case r.Method == http.MethodGet:
			w.WriteHeader(http.StatusNotFound)
			w.Write([]byte(`{"error":{"code":"no_row","message":"there is no such row"}}`))
		default:
			w.WriteHeader(status)
			w.Write([]byte(body))
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func TestExitStatus(t *testing.T) {
	accepted := serve(t, 200, `{"sequence":3,"version":1,"id":"x"}`)
	conflict := serve(t, 409, `{"error":{"code":"conflict","message":"another change went before","version":4,"author":"tui","row":{"domain":{"name":"ikeja"}}}}`)
	badRow := serve(t, 400, `{"error":{"code":"bad_row","message":"rate must be from 0"}}`)
	storeDown := serve(t, 503, `{"error":{"code":"store_down","message":"nothing was changed"}}`)
	unknown := serve(t, 504, `{"error":{"code":"unknown","message":"ask again"}}`)
	badRole := serve(t, 403, `{"error":{"code":"bad_role","message":"may only read"}}`)
	out := "domain out ikeja"
	for name, test := range map[string]struct {
		entries string
		key     string
		args    string
		want    int
		output  string
	}{
		"done":                    {accepted, "secret", out, ExitOK, "accepted as change 3"},
		"first entry unreachable": {closedAddress(t) + "," + accepted, "secret", out, ExitOK, "accepted as change 3"},
		"first entry can't write": {storeDown + "," + accepted, "secret", out, ExitOK, "accepted"},
		"unknown, then resolved":  {unknown + "," + accepted, "secret", out, ExitOK, "accepted"},
		"behind":                  {accepted, "secret", out + " --wait --timeout 1ms", ExitNotPropagated, "in force 2/2 entries, 6/7 sidecars\nbehind: sidecar engine4 at change 2"},
		"in force":                {accepted, "secret", "in-force", ExitNotPropagated, "6/7 sidecars"},
		"json":                    {accepted, "secret", "--output json in-force", ExitNotPropagated, `"in_force":6`},
		"conflict":                {conflict, "secret", out, ExitConflict, "version 4 by tui"},
		"invalid row":             {badRow, "secret", out, ExitUsage, "rate must be"},
		"store down":              {storeDown, "secret", out, ExitStore, "nothing was changed"},
		"no entry reachable":      {closedAddress(t), "secret", out, ExitStore, "no entry answered"},
		"unknown":                 {unknown, "secret", out, ExitUnknown, "--id "},
		"role":                    {badRole, "secret", out, ExitDenied, "may only read"},
		"wrong key":               {accepted, "other", out, ExitDenied, "bad_key"},
		"no key":                  {accepted, "", out, ExitUsage, "BAMBOOHILL_KEY"},
		"no entry":                {"", "secret", out, ExitUsage, "--entry"},
		"no name":                 {accepted, "secret", "domain out", ExitUsage, "wants NAME"},
		"two names":               {accepted, "secret", out + " lekki", ExitUsage, "wants NAME"},
		"unknown flag":            {accepted, "secret", out + " --fast", ExitUsage, "fast"},
		"invalid CA file":         {accepted, "secret", "--ca-file runner.go status", ExitUsage, "no certificate"},
		"missing CA file":         {accepted, "secret", "--ca-file absent.pem status", ExitUsage, "absent.pem"},
		"unknown output":          {accepted, "secret", "--output xml status", ExitUsage, "table or json"},
		"key created":             {accepted, "secret", "key create balloon", ExitOK, "key    bh-"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("BAMBOOHILL_ENTRIES", test.entries)
			t.Setenv("BAMBOOHILL_KEY", test.key)
			var text bytes.Buffer
			got := Main(context.Background(), append([]string{"bamboohill"}, strings.Fields(test.args)...), &text, &text)
			is.Equal(got, test.want)
			if !strings.Contains(text.String(), test.output) {
				t.Errorf("printed %q, want %q in it", text.String(), test.output)
			}
		})
	}
}

func TestEntryBehindTLS(t *testing.T) {
	is := is.New(t)
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("[]")) }))
	defer s.Close()
	file := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})
	is.NoErr(os.WriteFile(file, text, 0o600))
	t.Setenv("BAMBOOHILL_ENTRIES", s.URL)
	t.Setenv("BAMBOOHILL_KEY", "secret")
	var out bytes.Buffer
	is.Equal(Main(t.Context(), []string{"bamboohill", "plan", "list"}, &out, &out), ExitStore)
	is.Equal(Main(t.Context(), []string{"bamboohill", "--ca-file", file, "plan", "list"}, &out, &out), ExitOK)
}
