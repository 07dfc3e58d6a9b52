// Package runner carries an accepted proposal through its backend server and
// writes the frames of the answer.
//
// # Usage
//
//	r := runner.New(runner.Config{Engine: engine})
//	refused := r.Model(ctx, proposal, prompt, frames)
package runner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"bamboohill/core/framer"
	"bamboohill/core/generator"
	"bamboohill/wire"
)

// chunkBytes is how much of a plain answer one frame carries, in bytes.
const chunkBytes = 32 << 10

// dialRetry is when to come back to a service that takes no connection.
const dialRetry = time.Second

// Config describes a Runner. Engine is set for a model engine, Service (an
// ip:port) and Client for a plain service.
type Config struct {
	Engine  *generator.Engine
	Service string
	Client  *http.Client
}

// Runner runs accepted work.
type Runner struct {
	config Config
}

// New returns a runner.
func New(config Config) *Runner { return &Runner{config: config} }

// Model runs a prompt and writes its frames up to the closing one, to which it
// adds the newest report. It returns nil when the answer is whole, else what to
// tell the entry.
func (r *Runner) Model(ctx context.Context, p *wire.Proposal, prompt []byte, frames *framer.Writer, report func() *wire.Report) *wire.Refused {
	stream, err := r.config.Engine.Generate(ctx, generator.Job{
		ID: p.GetAttempt(), Model: p.GetModel(), Version: p.GetVersion(), Adapter: p.GetAdapter(), Prompt: prompt,
		Answer: p.GetAnswer(), Position: p.GetPosition(), Priority: p.GetPriority(), Import: p.GetImported(),
	})
	if err != nil {
		return refuseEngine(err)
	}
	defer stream.Close()
	for {
		c, err := stream.Next()
		if err != nil {
			return &wire.Refused{Reason: wire.Reason_REASON_CRASH, Outcome: wire.Outcome_OUTCOME_FAILED, Detail: err.Error()}
		}
		if c.Moved {
			return &wire.Refused{Reason: wire.Reason_REASON_MOVED, Outcome: wire.Outcome_OUTCOME_FAILED}
		}
		if c.Position+int64(len(c.Texts)) < frames.Position() || c.Position != frames.Position() {
			return &wire.Refused{Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_FAILED, Detail: "position"}
		}
		if len(c.Texts) > 0 && frames.Tokens(c.Texts) != nil {
			return &wire.Refused{Reason: wire.Reason_REASON_LATE, Outcome: wire.Outcome_OUTCOME_FAILED}
		}
		if c.End {
			frames.End(&wire.End{Prompt: c.Prompt, Cached: c.Cached, Finish: c.Finish, Report: report()})
			return nil
		}
	}
}

func refuseEngine(err error) *wire.Refused {
	var status *generator.StatusError
	if !errors.As(err, &status) {
		return &wire.Refused{Reason: wire.Reason_REASON_CRASH, Outcome: wire.Outcome_OUTCOME_FAILED, Detail: err.Error()}
	}
	reason := wire.Reason_REASON_ENGINE
	switch status.Code {
	case http.StatusInsufficientStorage:
		reason = wire.Reason_REASON_MEMORY
	case http.StatusNotFound:
		reason = wire.Reason_REASON_MODEL
	}
	return &wire.Refused{Reason: reason, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: status.Text}
}

// Frames takes the answer of a plain call.
type Frames interface {
	Head(head *wire.Head) error
	Data(data []byte) error
	End(end *wire.End) error
}

// keyHeader names the call towards the service. It is not in Go's canonical
// form: net/http sends a request with "Idempotency-Key" again by itself when
// the connection breaks, and the service would run the call twice.
const keyHeader = "idempotency-key"

// Plain runs one call of the plain service and writes its frames. A call whose
// answer does not come whole is unknown: it may have run. It is not run only
// if no connection to the service was made.
func (r *Runner) Plain(ctx context.Context, p *wire.Proposal, body []byte, frames Frames, report func() *wire.Report) *wire.Refused {
	q, err := http.NewRequestWithContext(ctx, p.GetMethod(), "http://"+r.config.Service+p.GetPath(), bytes.NewReader(body))
	if err != nil {
		return &wire.Refused{Reason: wire.Reason_REASON_DENIED, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "bad call"}
	}
	q.Header.Set("Content-Type", p.GetType())
	q.Header[keyHeader] = []string{p.GetKey()}
	q.GetBody = nil
	reply, err := r.config.Client.Do(q)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return &wire.Refused{Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: err.Error(), RetryMs: dialRetry.Milliseconds()}
	}
	if err != nil {
		return &wire.Refused{Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
	}
	defer reply.Body.Close()
	frames.Head(&wire.Head{Status: int32(reply.StatusCode), Type: reply.Header.Get("Content-Type")})
	buffer := make([]byte, chunkBytes)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			frames.Data(bytes.Clone(buffer[:n]))
		}
		if errors.Is(err, io.EOF) {
			frames.End(&wire.End{Finish: "stop", Report: report()})
			return nil
		}
		if err != nil {
			return &wire.Refused{Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
		}
	}
}
