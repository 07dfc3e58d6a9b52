package server

import (
	"expvar"
	"io"
	"net/http"
	"runtime"

	"bamboohill/core/certifier"
)

// serveVars shows the entry's own counts beside expvar's memstats; expvar's
// global page would mix those of several entries in one test process.
func (s *Server) serveVars(w http.ResponseWriter, _ *http.Request) {
	m := new(expvar.Map).Init()
	for name, v := range s.vars() {
		m.Set(name, v)
	}
	m.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	m.Set("inner_bytes", expvar.Func(func() any { return certifier.InnerBytes() }))
	m.Set("memstats", expvar.Get("memstats"))
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, m.String()+"\n")
}
