// Package proposer carries one proposal to one sidecar and reads the frames
// that come back.
//
// # Usage
//
//	p := proposer.New(proposer.Config{Peer: certifier.NewPeer(store, certifier.Sidecar)})
//	a, err := p.Propose(ctx, address, proposal, payload)
//	defer a.Close()
//	f, err := a.Next()
//
// The payload waits for the gate: it is sent only once the sidecar asks for it.
package proposer

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"

	"bamboohill/core/certifier"
	"bamboohill/core/drainer"
	"bamboohill/core/framer"
	"bamboohill/core/identifier"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// expectAbove is the payload size in bytes from which the sidecar is asked
// before the payload is sent.
const expectAbove = 64 << 10

// Config describes a Proposer. A nil Peer means plain connections.
type Config struct {
	Peer *certifier.Peer
}

// Proposer sends proposals.
type Proposer struct {
	peer *certifier.Peer
}

// New returns a proposer.
func New(config Config) *Proposer {
	if config.Peer == nil {
		config.Peer = certifier.NewPeer(nil)
	}
	return &Proposer{peer: config.Peer}
}

// Attempt is one proposal under way.
type Attempt struct {
	*framer.Reader
	body io.ReadCloser
}

// Close ends an attempt that has had its last frame, and gives up any other: the
// sidecar cancels what still runs.
func (a *Attempt) Close() error {
	if a.Ended() {
		return drainer.Close(a.body)
	}
	return a.body.Close()
}

// Propose sends a proposal and its payload. An error means that nobody knows
// whether the sidecar got it.
func (p *Proposer) Propose(ctx context.Context, address string, proposal *wire.Proposal, payload []byte) (*Attempt, error) {
	data, err := proto.Marshal(proposal)
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, p.peer.URL(address)+"/propose", bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Proposal", base64.StdEncoding.EncodeToString(data))
	if len(payload) > expectAbove {
		q.Header.Set("Expect", "100-continue")
	}
	// A proposal is never sent twice by the transport: it would run twice.
	q.GetBody = nil
	r, err := p.peer.Client.Do(q)
	if err != nil {
		return nil, err
	}
	if r.StatusCode != http.StatusOK {
		r.Body.Close()
		return nil, fmt.Errorf("proposer: status %d", r.StatusCode)
	}
	frames := framer.NewReader(framer.ReaderConfig{
		Request: identifier.Request(proposal.GetRequest()), Attempt: identifier.Attempt(proposal.GetAttempt()),
		Source: r.Body, Position: proposal.GetPosition(),
	})
	return &Attempt{Reader: frames, body: r.Body}, nil
}
