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

// Life of reservations. They end soon after their holder dies, before memory
// that nobody uses counts as lost (4 s on the users' platform), also where an
// order is carried out late.
const (
	holdTime   = 3 * time.Second
	renewEvery = time.Second
	orderMost  = 500 * time.Millisecond // an engine answers orders at once
)

// holding is the memory reserved at helpers for one send. The zero value holds
// nothing.
type holding struct {
	forwarder *Forwarder
	attempt   string
	places    []place
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// place is one reservation.
type place struct {
	server *viewer.Server
	ticket string
	tokens int
}

// heldError says that a helper did not reserve memory.
type heldError struct {
	Server viewer.ServerID
	Status int
}

// Error implements error.
func (e *heldError) Error() string {
	return fmt.Sprintf("forwarder: %s answered %d to a reservation", e.Server, e.Status)
}

// hold reserves memory at the helpers of a plan that needs it, all or nothing,
// and renews it until release. It returns the helpers as they are named to the
// backend server.
func (x *exchange) hold(ctx context.Context, p placement) ([]translator.Helper, *holding, error) {
	h := &holding{forwarder: x.forwarder, attempt: x.call.Attempt}
	helpers := make([]translator.Helper, len(p.helpers))
	for i, s := range p.helpers {
		helpers[i].Address = s.Address
		x.forwarder.Warmer.RecordRequest(s.ID, p.attempted)
		if i < len(p.work.HelperContextTokens) && p.work.HelperContextTokens[i] > 0 {
			helpers[i].Ticket = identifier.New[string]()
			h.places = append(h.places, place{server: s, ticket: helpers[i].Ticket, tokens: p.work.HelperContextTokens[i]})
		}
	}
	if len(h.places) == 0 {
		return helpers, h, nil
	}
	errs := make([]error, len(h.places))
	var all sync.WaitGroup
	for i, pl := range h.places {
		all.Go(func() { errs[i] = h.reserve(ctx, pl) })
	}
	all.Wait()
	for i, err := range errs {
		if err != nil {
			x.tried[h.places[i].server.ID] = true
			var full *heldError
			if !errors.As(err, &full) && ctx.Err() == nil {
				x.forwarder.Ejector.RecordFailure(h.places[i].server.ID, time.Now()) // it did not answer
			}
			return nil, h, err
		}
	}
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.cancel = cancel
	h.done.Go(func() { h.renew(renewing) })
	return helpers, h, nil
}

func (h *holding) reserve(ctx context.Context, p place) error {
	o, err := h.forwarder.Dialect.Reserve(p.ticket, p.tokens, holdTime)
	if err != nil {
		return err
	}
	return h.order(ctx, p, o)
}

// order sends an order to the engine of a reservation.
func (h *holding) order(ctx context.Context, p place, o translator.MemoryRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderMost)
	defer cancel()
	h.forwarder.Meter.Add("orders", 1)
	answer, err := h.forwarder.Connector.Send(ctx, p.server.Address, connector.Request{
		Method: o.Method, Target: o.Path, Host: p.server.Address, Body: o.Body,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Matches: func(http.Header) bool { return true },
	})
	if err != nil {
		return err
	}
	defer answer.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, wholeMost)); err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return &heldError{Server: p.server.ID, Status: answer.Status}
	}
	return nil
}

// renew prolongs the reservations until ctx ends.
func (h *holding) renew(ctx context.Context) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.each(func(p place) {
			if err := h.reserve(ctx, p); err != nil && ctx.Err() == nil {
				h.log("renew", p, err)
			}
		})
	}
}

// each calls do for every reservation at once: a helper that is dead must not
// make the others wait.
func (h *holding) each(do func(place)) {
	var all sync.WaitGroup
	for _, p := range h.places {
		all.Go(func() { do(p) })
	}
	all.Wait()
}

// release ends the reservations, in the background: the caller has its answer.
func (h *holding) release() {
	if len(h.places) == 0 {
		return
	}
	if h.cancel != nil {
		h.cancel()
	}
	go func() {
		h.done.Wait()
		h.each(func(p place) {
			o, err := h.forwarder.Dialect.Release(p.ticket)
			if err == nil {
				err = h.order(context.Background(), p, o)
			}
			if err != nil {
				h.log("release", p, err) // it ends by itself within holdTime
			}
		})
	}()
}

func (h *holding) log(what string, p place, err error) {
	h.forwarder.Log.Info().Str("event", "reservation").Str("id", h.attempt).Str("order", what).
		Str("server", string(p.server.ID)).Int("tokens", p.tokens).Str("cause", err.Error()).Msg("")
}
