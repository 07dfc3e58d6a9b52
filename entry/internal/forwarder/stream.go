package forwarder

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"bamboohill/core/connector"
)

// streamBuffer is the size of one read of a stream, in bytes: some events.
const streamBuffer = 4 << 10

// stream passes on the events of a stream as they come, whole ones only.
func (x *exchange) stream(p placement, answer *connector.Answer, guard *guard) fate {
	f := x.forwarder
	if answer.Header.Get("Content-Encoding") != "" {
		x.cause = "stream with a content encoding"
		return fateBroken
	}
	flusher := http.NewResponseController(x.w)
	buffer := make([]byte, streamBuffer)
	heard := false
	for {
		n, err := answer.Read(buffer)
		whole, long := x.relay.cutter.Feed(buffer[:n])
		if long != nil {
			err = long
		}
		if len(whole) > 0 {
			f.Ejector.RecordResponse(p.server.ID, time.Now())
			x.relay.heard(time.Now())
			if !heard {
				heard = true
				x.first(p)
			}
			guard.reset(max(silenceLeast, silenceGaps*x.route.TargetGap))
			x.begin(answer)
			if failed := pass(x.w, flusher, whole); failed != nil {
				x.cause = "caller: " + failed.Error()
				return fateLeft
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			if x.relay.cutter.PendingBytes() == 0 {
				x.begin(answer)
				return fateDone
			}
			err = errCut
		}
		return x.broken(p, err)
	}
}

// begin sends the head of the answer, once.
func (x *exchange) begin(answer *connector.Answer) {
	if x.relay.begun {
		return
	}
	x.relay.begun = true
	h := x.w.Header()
	for name, values := range x.forwarder.Dialect.Reply(answer.Header) {
		h[name] = values
	}
	x.close()
	x.w.WriteHeader(answer.Status)
}

func pass(w io.Writer, flusher *http.ResponseController, events []byte) error {
	if _, err := w.Write(events); err != nil {
		return err
	}
	return flusher.Flush()
}

// first notes the first event of a send.
func (x *exchange) first(p placement) {
	now := time.Now()
	x.forwarder.Loads.RecordFirstEvent(x.call.Attempt, now)
	if x.relay.first == 0 {
		x.relay.first = now.Sub(x.received)
		x.forwarder.Meter.Observe("first_event", x.relay.first)
	}
}

// broken handles a stream that ended too early.
func (x *exchange) broken(p placement, err error) fate {
	x.cause = "stream: " + err.Error()
	x.relay.cutter.DiscardPending()
	if x.r.Context().Err() != nil {
		return fateLeft
	}
	if x.relay.cutter.Events() > 0 && x.relay.cutter.LastID() == "" {
		x.history.resumable = false
	}
	x.mayRestart(p)
	x.witness(p)
	x.doubt(p, x.cause)
	return fateBroken
}

// note logs how one send ended.
func (x *exchange) note(p placement, result fate) {
	age := time.Since(p.server.Observed)
	x.forwarder.Meter.Add("sends_"+result.String(), 1)
	x.forwarder.Log.Info().Str("event", "sent").Str("id", x.call.Attempt).Str("route", x.route.Name).
		Str("server", string(p.server.ID)).Str("address", p.server.Address).
		Int("helpers", len(p.helpers)).Int("choices", p.choices).
		Int("tokens", x.call.Prompt).Float64("reading_ms", millis(p.work.Prefill)).Float64("expected_ms", millis(p.expected)).
		Float64("cost", cents(p.cost)).Float64("price", cents(p.price)).Int("writers", p.load.DecodingTotal()).Float64("backlog_ms", millis(p.load.Prefill)).
		Float64("server_age_ms", millis(age)).Float64("first_ms", millis(x.relay.first)).Float64("pause_ms", millis(x.relay.pause)).Float64("took_ms", millis(time.Since(p.attempted))).
		Str("outcome", result.String()).Str("cause", x.cause).Msg("")
}

// millis returns a time in milliseconds, to a tenth.
func millis(d time.Duration) float64 { return math.Round(float64(d)/1e5) / 10 }

// cents shortens a figure for the log.
func cents(x float64) float64 { return math.Round(100*x) / 100 }
