package server

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"bamboohill/core/translator"
	"bamboohill/sidecar/internal/settings"
)

// statementFields are the header fields in which a backend server says what it takes.
var statementFields = translator.StatementFields{Limit: "Server-Limit", Leaving: "Server-Leaving", Rest: "Retry-After"}

// generatePath is the path of the requests to a model engine that run something.
const generatePath = "/v1/generate"

// hearer reads from every answer of the backend server what that takes.
type hearer struct {
	next   http.RoundTripper
	server *Server
}

// RoundTrip implements http.RoundTripper.
func (h hearer) RoundTrip(q *http.Request) (*http.Response, error) {
	asked := time.Now()
	response, err := h.next.RoundTrip(q)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		h.server.forgetStatements() // nothing listens: the next answer is that of a new run
	}
	if err != nil {
		return nil, err
	}
	runs := h.server.config.Settings.Kind != settings.KindModel || q.URL.Path == generatePath
	h.server.hear(statementFields.Read(response.StatusCode, response.Header, time.Now()), runs, asked)
	return response, nil
}

// hear records what an answer says. Only an answer to a request that runs something can ask
// for rest or end a limit.
func (s *Server) hear(said translator.Statement, runs bool, asked time.Time) {
	if !runs {
		said.Rest, asked = 0, time.Time{}
	}
	if len(said.Invalid) > 0 && s.counts.invalidStatements.Value()%invalidPerLog == 0 {
		s.config.Log.Warn().Str("event", "server-said-invalid").Str("value", strings.Join(said.Invalid, "; ")).Msg("")
	}
	s.counts.invalidStatements.Add(int64(len(said.Invalid)))
	s.gate.Hear(said, asked, time.Now())
	if said.Rest > 0 || said.Limit > 0 {
		s.config.Log.Debug().Str("event", "server-said").Float64("limit", said.Limit).Float64("rest_s", said.Rest.Seconds()).Msg("")
	}
	if said.Leaving && !s.leaving.said.Swap(true) {
		s.config.Log.Info().Str("event", "server-said").Bool("leaving", true).Msg("")
		s.reporter.TriggerHeartbeat()
	}
}

// invalidPerLog is the number of values that can't be used for each that is logged.
const invalidPerLog = 1000

// forgetStatements forgets what the backend server has said, as a new run of it starts.
func (s *Server) forgetStatements() {
	s.gate.ForgetWish()
	s.leaving.said.Store(false)
}
