package exchanger

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"bamboohill/core/viewer"
	"bamboohill/wire"
)

// pullFrom fetches the state of a peer if its datagram says that it knows more, and
// once after the start: after the store has returned from an older copy, the peers may
// know more than the store. The caller holds the lock.
func (e *Exchanger) pullFrom(ctx context.Context, p *peer, o *wire.Outstanding) {
	theirs := viewer.Revision{Era: o.GetEra(), Version: o.GetConfiguration(), Configuration: o.GetConfigurationNumber()}
	own := e.config.State.Revision()
	first := !e.pulledOnce && theirs.Version > 0
	if e.pulling || !first && (!own.Behind(theirs) || p.pulled == theirs) {
		return
	}
	e.pulling, e.pulledOnce, p.pulled = true, true, theirs
	delay := pullDelay
	if first || own.Version == 0 {
		delay = 0
	}
	go e.pull(ctx, o.GetAddress(), theirs, delay, first)
}

// pull fetches the state of a peer, unless it is that of a first pull or the peer's
// revision arrives from the store within the delay.
func (e *Exchanger) pull(ctx context.Context, address string, revision viewer.Revision, delay time.Duration, first bool) {
	defer func() {
		e.mu.Lock()
		e.pulling = false
		e.mu.Unlock()
	}()
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.C:
	}
	before := e.config.State.Revision()
	if !first && !before.Behind(revision) {
		return
	}
	err := e.fetch(ctx, address)
	now := e.config.State.Revision()
	l := e.config.Log.Info().Str("event", "pulled").Str("peer", address).Int64("before", before.Version).Int64("now", now.Version).
		Int64("era", now.Era).Int64("configuration", now.Configuration)
	if err != nil {
		l = l.Str("cause", err.Error())
		e.forgetPull(address)
	}
	l.Msg("")
}

// forgetPull lets a failed pull from a peer be repeated.
func (e *Exchanger) forgetPull(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pulledOnce = false
	if p, found := e.peers[address]; found {
		p.pulled = viewer.Revision{}
	}
}

func (e *Exchanger) fetch(ctx context.Context, address string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return err
	}
	answer, err := e.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("exchanger: %s answered %d", address, answer.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxSnapshotBytes))
	if err != nil {
		return err
	}
	return e.config.State.Restore(data)
}

// ServeHTTP serves Path.
func (e *Exchanger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	data, err := e.config.State.Snapshot()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(data); err != nil {
		e.config.Log.Info().Str("event", "state-not-sent").Str("cause", err.Error()).Msg("")
	}
}
