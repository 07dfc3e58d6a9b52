// Package runner runs an accepted proposal on the backend server and writes the
// frames of the answer.
//
// # Usage
//
//	r := runner.New(runner.Config{Engine: engine})
//	refused := r.RunModel(ctx, proposal, prompt, frames, runner.Hooks{Report: report})
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

// chunkBytes is the largest part of a plain answer in one frame.
const chunkBytes = 32 << 10

// connectRetry is the retry delay for a service that accepts no connection.
const connectRetry = time.Second

// Config describes a Runner. Engine is set for a model engine, Service (IP:PORT)
// and Client for a plain service.
type Config struct {
	Engine  *generator.Engine
	Service string
	Client  *http.Client
}

// Runner runs accepted proposals.
type Runner struct {
	config Config
	start  time.Time
}

// New returns a runner.
func New(config Config) *Runner { return &Runner{config: config, start: time.Now()} }

// priorityUnit is the unit of the engine's priorities. With 10 milliseconds, their
// 32 bits (signed) last for 248 days after the start of the sidecar.
const priorityUnit = 10 * time.Millisecond

// enginePriority converts a proposal's priority, the milliseconds until it is
// urgent, into a time on this sidecar's clock. Requests that have waited are thus
// ahead of later ones without an update of their priority at the engine.
func (r *Runner) enginePriority(priority int32) int32 {
	urgentAt := time.Since(r.start) + time.Duration(priority)*time.Millisecond
	return int32(min(urgentAt/priorityUnit, math.MaxInt32))
}

// Hooks are the sidecar's callbacks and settings for one run of a prompt.
type Hooks struct {
	Report       func() *wire.Report // returns the latest report, for the closing frame
	OnFirstToken func()              // called when the first token arrives; may be nil
	Part         int                 // index of the part of the prompt's cache that this member of a gang holds
}

// RunModel runs a prompt and writes the frames of the answer up to the closing
// one, to which it adds the latest report. It returns nil if the answer is
// complete, else the refusal for the entry. If the proposal names a cache, it is
// imported first; if the import fails, the whole prompt is prefilled.
func (r *Runner) RunModel(ctx context.Context, p *wire.Proposal, prompt []byte, frames *framer.Writer, hooks Hooks) *wire.Refused {
	cache := generator.Cache{Handle: p.GetImported(), Tokens: p.GetCarried()}
	if cache.Handle != "" && r.config.Engine.Import(ctx, cache) != nil {
		cache.Handle = ""
	}
	stream, err := r.config.Engine.Generate(ctx, generator.Job{
		ID: p.GetAttempt(), Model: p.GetModel(), Version: p.GetVersion(), Adapter: p.GetAdapter(), Prompt: prompt,
		MaxTokens: p.GetAnswer(), Position: p.GetPosition(), Priority: r.enginePriority(p.GetPriority()), Import: cache.Handle,
		Part: hooks.Part, Parts: len(p.GetMembers()),
	})
	if err != nil {
		r.dropCache(ctx, cache.Handle)
		return engineRefusal(err)
	}
	defer stream.Close()
	return relay(p.GetAttempt(), stream, frames, hooks)
}

// dropCache frees an imported cache that no job uses. If this fails, the audit of
// the engine's memory finds the cache later.
func (r *Runner) dropCache(ctx context.Context, handle string) {
	if handle != "" {
		r.config.Engine.Drop(context.WithoutCancel(ctx), handle)
	}
}

// relay writes the output of a stream as frames until the stream ends.
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

// engineRefusal returns the refusal for an error of Engine.Generate.
func engineRefusal(err error) *wire.Refused {
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

// Frames receives the answer to a plain call.
type Frames interface {
	Head(head *wire.Head) error
	Data(data []byte) error
	End(end *wire.End) error
}

// keyHeader is the header with the idempotency key of a call. It is deliberately
// not in Go's canonical form: net/http resends a request that has the header
// "Idempotency-Key" when the connection breaks, and the service would run the
// call twice.
const keyHeader = "idempotency-key"

// RunPlain runs one call of the plain service and writes the frames of its answer.
// It returns nil if the answer is complete, else the refusal for the entry. The
// outcome of an incomplete answer is unknown, because the call may have run. The
// outcome is "not run" only if no connection to the service was made or the
// proposal is not a valid request.
func (r *Runner) RunPlain(ctx context.Context, p *wire.Proposal, body []byte, frames Frames, report func() *wire.Report) *wire.Refused {
	q, err := http.NewRequestWithContext(ctx, p.GetMethod(), "http://"+r.config.Service+p.GetPath(), bytes.NewReader(body))
	if err != nil {
		return &wire.Refused{Reason: wire.Reason_REASON_DENIED, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "bad call"}
	}
	q.Header.Set("Content-Type", p.GetType())
	q.Header[keyHeader] = []string{p.GetKey()}
	q.GetBody = nil
	response, err := r.config.Client.Do(q)
	var netErr *net.OpError
	if errors.As(err, &netErr) && netErr.Op == "dial" {
		return &wire.Refused{Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: err.Error(), RetryMs: connectRetry.Milliseconds()}
	}
	if err != nil {
		return &wire.Refused{Reason: wire.Reason_REASON_ENGINE, Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
	}
	defer response.Body.Close()
	frames.Head(&wire.Head{Status: int32(response.StatusCode), Type: response.Header.Get("Content-Type")})
	buffer := make([]byte, chunkBytes)
	for {
		n, err := response.Body.Read(buffer)
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
