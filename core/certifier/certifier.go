// Package certifier holds a process's certificate and the authority that it
// trusts, reads them anew when their files change, and makes TLS settings for
// servers and clients in which both sides prove their role.
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
// admits only clients whose certificate the authority signed and whose role it
// names; a client trusts only servers that prove the role it means, besides
// the IP address, so that an unknown process can neither send heartbeats nor
// propose nor push changes. New handshakes use the newest files; connections
// that stand are not cut. Files that can't be read leave the old ones in force.
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

// defaultEvery is how often Watch looks at the files.
const defaultEvery = 5 * time.Second

// ErrAuthority is returned for an authority file that holds no certificate.
var ErrAuthority = eris.New("certifier: authority holds no certificate")

// Config names the files, in PEM form. Without Authority, clients need no
// certificate. The zero Every is five seconds between looks at the files.
type Config struct {
	Certificate string
	Key         string
	Authority   string
	Every       time.Duration
	// Reloaded is called after each attempt to read changed files.
	Reloaded func(error)
}

// RoleError says that the other side proved another role than was asked for.
type RoleError struct {
	Got  []string
	Want []string
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("certifier: other side is %q, want one of %q", e.Got, e.Want)
}

// Store holds the files' newest good contents.
type Store struct {
	config Config
	now    atomic.Pointer[contents]
}

type contents struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil: clients need no certificate
	stamp       string
}

// New reads the files for the first time.
func New(config Config) (*Store, error) {
	if config.Every <= 0 {
		config.Every = defaultEvery
	}
	s := &Store{config: config}
	return s, s.Reload()
}

// Reload reads the files. On failure the old contents stay in force.
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
	s.now.Store(next)
	return nil
}

// stamp changes when a file does.
func (s *Store) stamp() string {
	text := ""
	for _, name := range []string{s.config.Certificate, s.config.Key, s.config.Authority} {
		if f, err := os.Stat(name); err == nil {
			text += fmt.Sprintf("%d/%d;", f.ModTime().UnixNano(), f.Size())
		}
	}
	return text
}

// Listen listens at an ip:port for clients of the given roles; with a nil store
// connections are plain. With roles, the bytes count as InnerBytes.
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

// Watch reads the files anew whenever they change, until the context ends. A
// nil store has no files to watch.
func (s *Store) Watch(ctx context.Context) {
	if s == nil {
		return
	}
	t := time.NewTicker(s.config.Every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s.stamp() == s.now.Load().stamp {
			continue
		}
		err := s.Reload()
		if s.config.Reloaded != nil {
			s.config.Reloaded(err)
		}
	}
}

// Server returns TLS settings for a server that admits the given roles. With
// no authority, or no roles, any client is admitted.
func (s *Store) Server(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := s.now.Load()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{now.certificate}, NextProtos: []string{"http/1.1"}}
			if now.authority != nil && len(roles) > 0 {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = now.authority
				config.VerifyConnection = func(state tls.ConnectionState) error { return prove(state, roles) }
			}
			return config, nil
		},
	}
}

// client returns TLS settings for a client of servers with the given roles. It
// checks the chain itself, so that a changed authority counts at once.
func (s *Store) client(roles []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.now.Load().certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection does it, against the newest authority.
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := s.verify(state); err != nil {
				return err
			}
			return prove(state, roles)
		},
	}
}

func (s *Store) verify(state tls.ConnectionState) error {
	options := x509.VerifyOptions{Roots: s.now.Load().authority, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

func prove(state tls.ConnectionState, roles []string) error {
	got := state.PeerCertificates[0].Subject.OrganizationalUnit
	if slices.ContainsFunc(got, func(r string) bool { return slices.Contains(roles, r) }) {
		return nil
	}
	return &RoleError{Got: got, Want: roles}
}
