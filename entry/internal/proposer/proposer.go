// Package proposer sends a proposal to a sidecar and reads the frames of the
// answer.
//
// # Usage
//
//	p := proposer.New(proposer.Config{Peer: certifier.NewPeer(store, certifier.Sidecar)})
//	a, err := p.Propose(ctx, address, proposal, payload)
//	defer a.Close()
//	f, err := a.Next()
//
// A large payload is sent only after the sidecar has accepted the proposal in the
// header and asks for it.
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

// expectAbove is the payload size in bytes above which the sidecar is asked before
// the payload is sent.
const expectAbove = 64 << 10

// Config configures a Proposer. A nil Peer means connections without TLS.
type Config struct {
	Peer *certifier.Peer
}

// Proposer sends proposals to sidecars.
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

// Attempt is one proposal in progress.
type Attempt struct {
	*framer.Reader
	body io.ReadCloser
}

// Close releases the connection of an attempt whose last frame was read, and
// breaks the connection of any other, so that the sidecar cancels the attempt.
func (a *Attempt) Close() error {
	if a.Ended() {
		return drainer.Close(a.body)
	}
	return a.body.Close()
}

// Propose sends a proposal and its payload. After an error it is unknown whether
// the sidecar received the proposal.
func (p *Proposer) Propose(ctx context.Context, address string, proposal *wire.Proposal, payload []byte) (*Attempt, error) {
	data, err := proto.Marshal(proposal)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.peer.URL(address)+"/propose", bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Proposal", base64.StdEncoding.EncodeToString(data))
	if len(payload) > expectAbove {
		request.Header.Set("Expect", "100-continue")
	}
	// Prevents the transport from sending the proposal again, which would run the
	// request twice.
	request.GetBody = nil
	response, err := p.peer.Client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("proposer: sidecar answered with status %d", response.StatusCode)
	}
	frames := framer.NewReader(framer.ReaderConfig{
		Request: identifier.Request(proposal.GetRequest()), Attempt: identifier.Attempt(proposal.GetAttempt()),
		Source: response.Body, Position: proposal.GetPosition(),
	})
	return &Attempt{Reader: frames, body: response.Body}, nil
}
