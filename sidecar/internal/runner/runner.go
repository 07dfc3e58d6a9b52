// Package runner carries an accepted proposal through its backend server and
// writes the frames of the answer.
//
// # Usage
//
//	r := runner.New(runner.Config{Engine: engine})
//	refused := r.Model(ctx, proposal, prompt, frames, runner.Hooks{Report: report})
package runner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
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
	start  time.Time
}

// New returns a runner.
func New(config Config) *Runner { return &Runner{config: config, start: time.Now()} }

// tick is the unit of the engine's priorities. With it they last 248 days.
const tick = 10 * time.Millisecond

// urgency turns a proposal's priority, the milliseconds until it is urgent,
// into a moment on this sidecar's clock, so that what has waited rises above
// what has come since, without a further word to the engine.
func (r *Runner) urgency(priority int32) int32 {
	moment := time.Since(r.start) + time.Duration(priority)*time.Millisecond
	return int32(min(moment/tick, math.MaxInt32))
}

// Hooks joins a run of a prompt to the rest of the sidecar.
type Hooks struct {
	Report       func() *wire.Report // the newest report, for the closing frame
	OnFirstToken func()              // called at the first token; may be nil
	Part         int                 // part of the prompt's cache, for a member of a gang
}

// RunModel runs a prompt and writes its frames up to the closing one, to which it
// adds the newest report. It returns nil when the answer is whole, else what to
// tell the entry. A cache that the proposal brings is imported first; if that
// fails, the prompt is prefilled anew.
func (r *Runner) RunModel(ctx context.Context, p *wire.Proposal, prompt []byte, frames *framer.Writer, hooks Hooks) *wire.Refused {
	cache := generator.Cache{Handle: p.GetImported(), Tokens: p.GetCarried()}
	if cache.Handle != "" && r.config.Engine.Import(ctx, cache) != nil {
		cache.Handle = ""
	}
	stream, err := r.config.Engine.Generate(ctx, generator.Job{
		ID: p.GetAttempt(), Model: p.GetModel(), Version: p.GetVersion(), Adapter: p.GetAdapter(), Prompt: prompt,
		MaxTokens: p.GetAnswer(), Position: p.GetPosition(), Priority: r.urgency(p.GetPriority()), Import: cache.Handle,
		Part: hooks.Part, Parts: len(p.GetMembers()),
	})
	if err != nil {
		r.drop(ctx, cache.Handle)
		return refuseEngine(err)
	}
	defer stream.Close()
	return relay(p.GetAttempt(), stream, frames, hooks)
}

// drop frees an imported cache that no job took. If this fails too, the audit
// finds it.
func (r *Runner) drop(ctx context.Context, handle string) {
	if handle != "" {
		r.config.Engine.Drop(context.WithoutCancel(ctx), handle)
	}
}

// relay passes a stream on up to its end.
func relay(attempt string, stream *generator.Stream, frames *framer.Writer, hooks Hooks) *wire.Refused {
	for first := true; ; {
		c, err := stream.Next()
		if err != nil {
			return &wire.Refused{Reason: wire.Reason_REASON_CRASH, Outcome: wire.Outcome_OUTCOME_FAILED, Detail: err.Error()}
		}
		if c.Job != attempt {
			return &wire.Refused{Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_FAILED, Detail: "output of another job"}
		}
		if c.Moved {
			return &wire.Refused{Reason: wire.Reason_REASON_MOVED, Outcome: wire.Outcome_OUTCOME_FAILED}
		}
		if c.Position+int64(len(c.Texts)) < frames.Position() || c.Position != frames.Position() {
			return &wire.Refused{Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_FAILED, Detail: "position"}
		}
		if first && len(c.Texts) > 0 {
			first = false
			if hooks.OnFirstToken != nil {
				hooks.OnFirstToken()
			}
		}
		if len(c.Texts) > 0 && frames.Tokens(c.Texts) != nil {
			return &wire.Refused{Reason: wire.Reason_REASON_LATE, Outcome: wire.Outcome_OUTCOME_FAILED}
		}
		if c.End {
			frames.End(&wire.End{Prompt: c.Prompt, Cached: c.Cached, Finish: c.Finish, Report: hooks.Report()})
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

// RunPlain runs one call of the plain service and writes its frames. A call whose
// answer does not come whole is unknown: it may have run. It is not run only
// if no connection to the service was made.
func (r *Runner) RunPlain(ctx context.Context, p *wire.Proposal, body []byte, frames Frames, report func() *wire.Report) *wire.Refused {
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
