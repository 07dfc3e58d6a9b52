package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"bamboohill/core/connector"
	"bamboohill/core/identifier"
	"bamboohill/core/translator"
	"bamboohill/core/viewer"
)

// Times of reservations. A reservation expires soon after this entry dies: before
// the users' platform counts unused memory as lost (4 s), even if an engine
// handles a memory request late.
const (
	reservationTTL       = 3 * time.Second
	renewInterval        = time.Second
	memoryRequestTimeout = 500 * time.Millisecond // an engine answers memory requests at once
)

// reservations is the memory that is reserved at helpers for one send. The zero
// value reserves nothing.
type reservations struct {
	forwarder *Forwarder
	attempt   string
	list      []reservation
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// reservation is the memory that is reserved at one helper.
type reservation struct {
	server *viewer.Server
	ticket string
	tokens int
}

// answerUse says what the answer to a memory request is used for. Such answers don't name
// their request, so that one on a connection may be taken for another.
type answerUse int

const (
	decides answerUse = iota // the prompt is sent or not: no other may be taken for it
	logs                     // a failure is logged, as the reservation ends by itself
)

// reservationError reports that a helper refused a memory request.
type reservationError struct {
	Server viewer.ServerID
	Status int
}

// Error implements error.
func (e *reservationError) Error() string {
	return fmt.Sprintf("forwarder: %s answered %d to a reservation", e.Server, e.Status)
}

// reserveMemory reserves memory at the helpers of a placement and renews the
// reservations until release. It returns the helpers for the header of the
// request. If one helper does not reserve memory, it returns an error; the caller
// must call release in any case.
func (x *exchange) reserveMemory(ctx context.Context, p placement) ([]translator.Helper, *reservations, error) {
	h := &reservations{forwarder: x.forwarder, attempt: x.call.Attempt}
	helpers := make([]translator.Helper, len(p.helpers))
	for i, s := range p.helpers {
		helpers[i].Address = s.Address
		x.forwarder.Warmer.RecordRequest(s.ID, p.attempted)
		if i < len(p.work.HelperContextTokens) && p.work.HelperContextTokens[i] > 0 {
			helpers[i].Ticket = identifier.New[string]()
			h.list = append(h.list, reservation{server: s, ticket: helpers[i].Ticket, tokens: p.work.HelperContextTokens[i]})
		}
	}
	if len(h.list) == 0 {
		return helpers, h, nil
	}
	errs := make([]error, len(h.list))
	var all sync.WaitGroup
	for i, r := range h.list {
		all.Go(func() { errs[i] = h.reserve(ctx, r, decides) })
	}
	all.Wait()
	for i, err := range errs {
		if err != nil {
			x.tried[h.list[i].server.ID] = true
			var refused *reservationError
			if !errors.As(err, &refused) && ctx.Err() == nil {
				x.forwarder.Ejector.RecordFailure(h.list[i].server.ID, time.Now()) // it did not answer
			}
			return nil, h, err
		}
	}
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.cancel = cancel
	h.done.Go(func() { h.renew(renewing) })
	return helpers, h, nil
}

func (h *reservations) reserve(ctx context.Context, r reservation, use answerUse) error {
	m, err := h.forwarder.Dialect.Reserve(r.ticket, r.tokens, reservationTTL)
	if err != nil {
		return err
	}
	return h.sendMemoryRequest(ctx, r, m, use)
}

// sendMemoryRequest sends a memory request to the engine of a reservation. It
// returns a reservationError if the engine refuses it.
func (h *reservations) sendMemoryRequest(ctx context.Context, r reservation, m translator.MemoryRequest, use answerUse) error {
	ctx, cancel := context.WithTimeout(ctx, memoryRequestTimeout)
	defer cancel()
	h.forwarder.Meter.Add("orders", 1)
	answer, err := h.forwarder.Connector.Send(ctx, r.server.Address, connector.Request{
		Method: m.Method, Target: m.Path, Host: r.server.Address, Body: m.Body,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Matches: func(answer http.Header) bool { return h.forwarder.Dialect.Matches(answer, "") }, AnyAnswer: use == logs,
	})
	if err != nil {
		if connectionRefused(err) {
			h.forwarder.recordRefused(r.server.ID)
		}
		return err
	}
	defer answer.Close()
	h.forwarder.hear(r.server, h.forwarder.Dialect.Classify(answer.Status, answer.Header), time.Time{}, h.attempt)
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxBufferedBytes)); err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return &reservationError{Server: r.server.ID, Status: answer.Status}
	}
	return nil
}

// renew extends the reservations once per renewInterval until ctx ends.
func (h *reservations) renew(ctx context.Context) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.each(func(r reservation) {
			if err := h.reserve(ctx, r, logs); err != nil && ctx.Err() == nil {
				h.log("renew", r, err)
			}
		})
	}
}

// each calls do for all reservations concurrently and waits for all calls, so
// that a dead helper does not delay the others.
func (h *reservations) each(do func(reservation)) {
	var all sync.WaitGroup
	for _, r := range h.list {
		all.Go(func() { do(r) })
	}
	all.Wait()
}

// release ends the reservations in the background, so that the caller need not
// wait for it.
func (h *reservations) release() {
	if len(h.list) == 0 {
		return
	}
	if h.cancel != nil {
		h.cancel()
	}
	go func() {
		h.done.Wait()
		h.each(func(r reservation) {
			m, err := h.forwarder.Dialect.Release(r.ticket)
			if err == nil {
				err = h.sendMemoryRequest(context.Background(), r, m, logs)
			}
			if err != nil {
				h.log("release", r, err) // it expires within reservationTTL
			}
		})
	}()
}

func (h *reservations) log(what string, r reservation, err error) {
	h.forwarder.Log.Info().Str("event", "reservation").Str("id", h.attempt).Str("order", what).
		Str("server", string(r.server.ID)).Int("tokens", r.tokens).Str("cause", err.Error()).Msg("")
}
