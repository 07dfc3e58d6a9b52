// Package certifier loads a process's certificate and the certificate authority
// that it trusts, reloads them when their files change, and provides TLS
// configurations in which client and server verify each other's role.
//
// # Usage
//
//	s, err := certifier.New(certifier.Config{Certificate: c, Key: k, Authority: a})
//	go s.Watch(ctx)
//	listener, err := s.Listen(ctx, address, certifier.Entry, certifier.Sidecar)
//	peer := certifier.NewPeer(s, certifier.Sidecar)
//	url := peer.URL("127.0.0.1:8101")
//
// A process's role is the organizational unit of its certificate. A server
// accepts only clients that have a certificate signed by the authority and one of
// the given roles. A client accepts only servers with one of the given roles and
// the expected IP address. An unknown process can therefore neither send
// heartbeats nor propose requests nor push configuration changes. New handshakes
// use the newest files; existing connections are not closed. If the files cannot
// be read, the previous ones stay in use.
package certifier

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Roles of processes.
const (
	Entry   = "entry"
	Sidecar = "sidecar"
)

// defaultInterval is the time between two checks of the files by Watch.
const defaultInterval = 5 * time.Second

// ErrAuthority is returned for an authority file without a certificate.
var ErrAuthority = eris.New("certifier: authority holds no certificate")

// Config names the PEM files. Without Authority, clients need no certificate. A
// zero Interval means five seconds.
type Config struct {
	Certificate string
	Key         string
	Authority   string
	Interval    time.Duration // between two checks of the files
	// OnReload is called after each attempt to read changed files, with its error
	// or nil.
	OnReload func(error)
}

// RoleError is returned if the certificate of the peer has none of the accepted
// roles.
type RoleError struct {
	Got  []string
	Want []string
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("certifier: peer has roles %q, want one of %q", e.Got, e.Want)
}

// Store holds the contents of the files when they were last read without error.
// It is safe for concurrent use.
type Store struct {
	config  Config
	current atomic.Pointer[contents]
}

// contents is what the files held at one time.
type contents struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil if clients need no certificate
	stamp       string         // of the files
}

// New returns a Store with the contents of the files, or an error if they cannot
// be read.
func New(config Config) (*Store, error) {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	s := &Store{config: config}
	return s, s.Reload()
}

// Reload reads the files. If it fails, the previous contents stay in use. The
// error is ErrAuthority if the authority file holds no certificate.
func (s *Store) Reload() error {
	stamp := s.stamp()
	certificate, err := tls.LoadX509KeyPair(s.config.Certificate, s.config.Key)
	if err != nil {
		return eris.Wrap(err, "certifier")
	}
	next := &contents{certificate: certificate, stamp: stamp}
	if s.config.Authority != "" {
		text, err := os.ReadFile(s.config.Authority)
		if err != nil {
			return eris.Wrap(err, "certifier")
		}
		next.authority = x509.NewCertPool()
		if !next.authority.AppendCertsFromPEM(text) {
			return ErrAuthority
		}
	}
	s.current.Store(next)
	return nil
}

// stamp returns the modification times and sizes of the files as a string that
// changes when one of the files changes.
func (s *Store) stamp() string {
	text := ""
	for _, name := range []string{s.config.Certificate, s.config.Key, s.config.Authority} {
		if f, err := os.Stat(name); err == nil {
			text += fmt.Sprintf("%d/%d;", f.ModTime().UnixNano(), f.Size())
		}
	}
	return text
}

// Listen listens at an ip:port for clients with the given roles. With a nil
// Store, connections are plain TCP. If roles are given, InternalBytes includes
// the bytes of these connections.
func (s *Store) Listen(ctx context.Context, address string, roles ...string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if len(roles) > 0 {
		listener = meteredListener{listener}
	}
	if s == nil {
		return listener, nil
	}
	return tls.NewListener(listener, s.Server(roles...)), nil
}

// Watch reloads the files whenever they change, until the context ends. It
// returns at once if the Store is nil.
func (s *Store) Watch(ctx context.Context) {
	if s == nil {
		return
	}
	t := time.NewTicker(s.config.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s.stamp() == s.current.Load().stamp {
			continue
		}
		err := s.Reload()
		if s.config.OnReload != nil {
			s.config.OnReload(err)
		}
	}
}

// Server returns the TLS configuration of a server that accepts clients with the
// given roles. Without an authority, or without roles, it accepts any client.
func (s *Store) Server(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.current.Load()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{current.certificate}, NextProtos: []string{"http/1.1"}}
			if current.authority != nil && len(roles) > 0 {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = current.authority
				config.VerifyConnection = func(state tls.ConnectionState) error { return verifyRole(state, roles) }
			}
			return config, nil
		},
	}
}

// client returns the TLS configuration of a client of servers with the given
// roles. It verifies the certificate chain itself, so that a changed authority
// takes effect at once.
func (s *Store) client(roles []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies against the current authority.
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := s.verifyChain(state); err != nil {
				return err
			}
			return verifyRole(state, roles)
		},
	}
}

// verifyChain verifies the peer's certificate against the current authority.
func (s *Store) verifyChain(state tls.ConnectionState) error {
	options := x509.VerifyOptions{Roots: s.current.Load().authority, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// verifyRole returns a *RoleError unless the peer's certificate has one of the
// roles.
func verifyRole(state tls.ConnectionState, roles []string) error {
	got := state.PeerCertificates[0].Subject.OrganizationalUnit
	if slices.ContainsFunc(got, func(r string) bool { return slices.Contains(roles, r) }) {
		return nil
	}
	return &RoleError{Got: got, Want: roles}
}
