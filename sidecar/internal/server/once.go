package server

import (
	"context"
	"crypto/sha256"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bamboohill/core/framer"
	"bamboohill/core/storer"
	"bamboohill/sidecar/internal/recorder"
	"bamboohill/sidecar/internal/sharer"
	"bamboohill/wire"
)

// Intervals of reading a page of the recorder's rows to delete old ones.
const (
	sweepInterval = time.Second
	sweepPause    = 5 * time.Minute // after the last page
)

// newClient returns the HTTP client for the backend server. It does not follow
// redirects: a redirect is the answer to the call, and following it would be
// another call.
func newClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func newRecorder(s *Server) *recorder.Recorder {
	set := s.config.Settings
	return recorder.New(recorder.Config{
		Table: storer.NewTable(storer.Config{Address: set.Platform.Table}), VM: set.VM, Boot: s.boot,
	})
}

// runOnce runs a call that must not be repeated. It returns once the service no
// longer processes the call, so that the gate counts what the service really
// runs; the caller's answer or refusal is written as soon as it is known.
func (s *Server) runOnce(ctx context.Context, p *wire.Proposal, body []byte, frames *framer.Writer) *wire.Refused {
	if p.GetKey() == "" || p.GetAccount() == "" {
		return &wire.Refused{Reason: wire.Reason_REASON_DENIED, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "no idempotency key"}
	}
	frames.Accept(s.Report())
	deadline := time.Now().Add(time.Duration(p.GetRemainingMs()) * time.Millisecond)
	copied := &copier{frames: frames, maxBuffered: recorder.DefaultMaxAnswerBytes}
	result := s.recorder.Do(ctx, recorder.Call{
		Account: p.GetAccount(), Key: p.GetKey(), Attempt: p.GetAttempt(), Hash: callHash(p, body), Deadline: deadline,
	}, func(ctx context.Context) (*recorder.Answer, error) { return s.deliver(ctx, p, body, copied) })
	copied.seal()
	switch {
	case result.Refused != nil:
		result.Refused.Report = s.Report()
		frames.Refuse(result.Refused)
	case result.Replayed:
		a := result.Answer
		frames.Head(&wire.Head{Status: int32(a.Status), Type: a.Type, Replayed: true})
		frames.Data(a.Body)
		frames.End(&wire.End{Finish: "stop", Report: s.Report()})
	default:
		frames.End(copied.end)
	}
	<-result.ServiceDone
	return result.Refused
}

// deliver sends a call to the service and returns its answer. It returns a
// *recorder.NotSentError if the service did not receive the call.
func (s *Server) deliver(ctx context.Context, p *wire.Proposal, body []byte, copied *copier) (*recorder.Answer, error) {
	if refused := s.gate.Confirm(p.GetAttempt()); refused != nil {
		return nil, &recorder.NotSentError{Cause: refused.GetReason().String()}
	}
	refused := s.runner.RunPlain(ctx, p, body, copied, s.Report)
	switch {
	case refused == nil:
		return copied.answer(), nil
	case refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN:
		return nil, &recorder.NotSentError{Cause: refused.GetDetail()}
	}
	return nil, fmt.Errorf("%s: %s", refused.GetReason(), refused.GetDetail())
}

// callHash returns a hash of everything that the service receives. A key that is
// sent again with another hash is a mismatch.
func callHash(p *wire.Proposal, body []byte) []byte {
	h := sha256.New()
	for _, part := range []string{p.GetMethod(), p.GetPath(), p.GetType()} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(body)
	return h.Sum(nil)
}

// copier forwards the answer of a plain service to the caller and buffers a copy
// of it, up to a limit. It retains the end frame until the answer is recorded.
// Once sealed it forwards nothing, since the caller has its final answer or
// refusal.
type copier struct {
	frames      *framer.Writer
	maxBuffered int // bytes of the body to buffer

	mu       sync.Mutex
	sealed   bool
	buffered recorder.Answer
	end      *wire.End
}

// seal stops the forwarding.
func (c *copier) seal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
}

// Head forwards and buffers the status and content type.
func (c *copier) Head(head *wire.Head) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered.Status = int(head.GetStatus())
	c.buffered.Type = head.GetType()
	if !c.sealed {
		c.frames.Head(head)
	}
	return nil
}

// Data forwards and buffers a part of the body.
func (c *copier) Data(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.buffered.Body)+len(data) > c.maxBuffered {
		c.buffered.Large = true
		c.buffered.Body = nil
	}
	if !c.buffered.Large {
		c.buffered.Body = append(c.buffered.Body, data...)
	}
	if !c.sealed {
		c.frames.Data(data)
	}
	return nil
}

// End retains the end frame.
func (c *copier) End(end *wire.End) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = end
	return nil
}

// answer returns the buffered answer.
func (c *copier) answer() *recorder.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := c.buffered
	if answer.Status == 0 {
		answer.Status = http.StatusOK
	}
	return &answer
}

// recorderVars adds the counters of the recorder's use of the table service.
func (s *Server) recorderVars(m *expvar.Map) {
	stats := s.recorder.Stats()
	for name, n := range map[string]int64{
		"once_transactions": stats.Groups.Load(), "once_rows": stats.Ops.Load(), "once_reads": stats.Reads.Load(),
	} {
		v := new(expvar.Int)
		v.Set(n)
		m.Set(name, v)
	}
}

// share limits this sidecar's writes to its share of the total that all sidecars
// of plain services may write.
func (s *Server) share(ctx context.Context) {
	set := s.config.Settings
	sharer.New(sharer.Config{
		Table: storer.NewTable(storer.Config{Address: set.Platform.Table}), Name: set.Server, TotalRate: float64(set.WritesPerSecond), OnShare: s.recorder.SetRate,
	}).Run(ctx)
}

// sweep deletes old rows of the recorder until the context ends, one page every
// sweepInterval. After the last page or an error it pauses for sweepPause.
func (s *Server) sweep(ctx context.Context) {
	var next time.Time
	loop(ctx, sweepInterval, func(ctx context.Context) {
		if time.Now().Before(next) {
			return
		}
		if _, more, err := s.recorder.Sweep(ctx); err != nil || !more {
			next = time.Now().Add(sweepPause)
		}
	})
}
