package forwarder

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"bamboohill/core/connector"
)

// streamBuffer is the size of one read of a stream in bytes, enough for several
// events.
const streamBuffer = 4 << 10

// relayStream relays the events of a stream as they arrive. It sends complete
// events only.
func (x *exchange) relayStream(p placement, answer *connector.Answer, guard *guard) sendResult {
	f := x.forwarder
	if answer.Header.Get("Content-Encoding") != "" {
		x.cause = "stream with a content encoding"
		return sendBroken
	}
	flusher := http.NewResponseController(x.w)
	buffer := make([]byte, streamBuffer)
	received := false
	before := x.relay.splitter.Events()
	for {
		n, err := answer.Read(buffer)
		events, foreign := x.relay.splitter.Feed(buffer[:n])
		if foreign != nil {
			err = foreign
		}
		if len(events) > 0 {
			f.Ejector.RecordAnswer(p.server.ID, time.Now())
			x.relay.recordEvents(time.Now())
			if !received && !x.beginEvents(p) {
				return sendAborted
			}
			received = true
			if x.writing(time.Now()) >= servedTime {
				x.recordServed()
			}
			guard.reset(max(minStreamSilence, silenceGapFactor*x.route.TargetGap))
			x.startResponse(answer)
			if failed := writeEvents(x.w, flusher, events); failed != nil {
				x.cause = "caller: " + failed.Error()
				return sendCanceled
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			if err = x.relay.checkEnd(answer, x.relay.splitter.Events()-before); err == nil {
				x.startResponse(answer)
				return sendDone
			}
		}
		return x.handleBrokenStream(p, err)
	}
}

// startResponse sends the status and header of the answer on the first call.
func (x *exchange) startResponse(answer *connector.Answer) {
	if !x.relay.started.Load() {
		x.begin(answer.Status, x.forwarder.Dialect.Reply(answer.Header))
	}
}

func writeEvents(w io.Writer, flusher *http.ResponseController, events []byte) error {
	if _, err := w.Write(events); err != nil {
		return err
	}
	return flusher.Flush()
}

// writing returns for how long the backend server of the last send has written events,
// zero if it has sent none.
func (x *exchange) writing(now time.Time) time.Duration {
	if x.firstEvent.IsZero() {
		return 0
	}
	return now.Sub(x.firstEvent)
}

// beginEvents records the first event of a send. It reports false if the send was aborted
// before.
func (x *exchange) beginEvents(p placement) bool {
	if !x.forwarder.unanswered.Begin(x) {
		x.cause = x.abortCause()
		return false
	}
	now := time.Now()
	x.firstEvent = now
	x.forwarder.Loads.RecordFirstEvent(x.load, now)
	if x.relay.firstDelay == 0 {
		x.relay.firstDelay = now.Sub(x.received)
		x.forwarder.Meter.Observe("first_event", x.relay.firstDelay)
	}
	return true
}

// handleBrokenStream handles a stream that ended early. The stream can be resumed
// at another server only if its events are numbered.
func (x *exchange) handleBrokenStream(p placement, err error) sendResult {
	x.cause = "stream: " + err.Error()
	x.relay.splitter.DiscardPending()
	if x.r.Context().Err() != nil {
		return sendCanceled
	}
	if cause := x.abortCause(); cause != "" {
		x.cause = cause
		return sendAborted
	}
	if !x.relay.splitter.CanResume() {
		x.history.resumable = false
	}
	x.recordDisconnect(p)
	x.recordFailure(p, x.cause)
	return sendBroken
}

// logSend logs the result of one send.
func (x *exchange) logSend(p placement, result sendResult) {
	age := time.Since(p.server.Observed)
	x.forwarder.Meter.Add("sends_"+result.String(), 1)
	x.meterDomain(p)
	x.forwarder.Log.Info().Str("event", "sent").Str("id", x.call.Attempt).Str("route", x.route.Name).
		Str("server", string(p.server.ID)).Str("address", p.server.Address).Bool("remote", x.forwarder.remote(p.server)).
		Int("helpers", len(p.helpers)).Int("choices", p.choices).
		Int("tokens", x.call.Prompt).Float64("reading_ms", millis(p.work.Prefill)).Float64("expected_ms", millis(p.expected)).
		Float64("cost", cents(p.cost)).Float64("price", cents(p.price)).Int("writers", p.load.DecodingTotal()).Float64("backlog_ms", millis(p.load.Prefill)).
		Float64("server_age_ms", millis(age)).Float64("limit", x.forwarder.Permitter.Limit(p.server)).Float64("first_ms", millis(x.relay.firstDelay)).Float64("pause_ms", millis(x.relay.maxPause)).Float64("took_ms", millis(time.Since(p.attempted))).
		Str("outcome", result.String()).Str("cause", x.cause).Msg("")
}

// millis returns a duration in milliseconds, rounded to a tenth.
func millis(d time.Duration) float64 { return math.Round(float64(d)/1e5) / 10 }

// cents rounds a number to two decimals.
func cents(x float64) float64 { return math.Round(100*x) / 100 }
