package certifier_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bamboohill/core/certifier"

	"github.com/matryer/is"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{serial: 1}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a.key = key
	a.certificate, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issue writes a certificate with a role into dir and returns its settings. It
// replaces the files of an earlier certificate.
func (a *authority) issue(t *testing.T, dir, role string) certifier.Config {
	t.Helper()
	a.serial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: role, OrganizationalUnit: []string{role}},
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	c := certifier.Config{
		Certificate: filepath.Join(dir, role+".pem"), Key: filepath.Join(dir, role+".key"), Authority: filepath.Join(dir, "authority.pem"),
	}
	write(t, c.Certificate, "CERTIFICATE", der)
	write(t, c.Key, "EC PRIVATE KEY", private)
	write(t, c.Authority, "CERTIFICATE", a.certificate.Raw)
	return c
}

func write(t *testing.T, name, kind string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func load(t *testing.T, c certifier.Config) *certifier.Store {
	t.Helper()
	s, err := certifier.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func serve(t *testing.T, config *tls.Config) string {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.TLS = config
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func get(p *certifier.Peer, address string) error {
	q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, p.URL(address), nil)
	if err != nil {
		return err
	}
	r, err := p.Client.Do(q)
	if err != nil {
		return err
	}
	return r.Body.Close()
}

func TestRoles(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		signer *authority
		role   string // of the client
		wants  string // the server role that the client accepts
		ok     bool
	}{
		"sidecar to entry":    {signer: trusted, role: certifier.Sidecar, wants: certifier.Entry, ok: true},
		"entry to entry":      {signer: trusted, role: certifier.Entry, wants: certifier.Entry},
		"wrong server role":   {signer: trusted, role: certifier.Sidecar, wants: certifier.Sidecar},
		"untrusted authority": {signer: untrusted, role: certifier.Sidecar, wants: certifier.Entry},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := load(t, trusted.issue(t, t.TempDir(), certifier.Entry))
			address := serve(t, server.Server(certifier.Sidecar))
			client := load(t, test.signer.issue(t, t.TempDir(), test.role))
			is.Equal(get(certifier.NewPeer(client, test.wants), address) == nil, test.ok)
		})
	}
}

func TestNoCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	server := load(t, newAuthority(t).issue(t, t.TempDir(), certifier.Entry))
	address := serve(t, server.Server(certifier.Sidecar))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+address, nil)
	is.NoErr(err)
	r, err := client.Do(q)
	if err == nil {
		r.Body.Close()
	}
	is.True(err != nil)
}

func TestRotation(t *testing.T) {
	is := is.New(t)
	old, next := newAuthority(t), newAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	server := load(t, old.issue(t, serverDir, certifier.Entry))
	client := load(t, old.issue(t, clientDir, certifier.Sidecar))
	address := serve(t, server.Server(certifier.Sidecar))
	existing := certifier.NewPeer(client, certifier.Entry)
	is.NoErr(get(existing, address))

	next.issue(t, serverDir, certifier.Entry)
	is.NoErr(server.Reload())
	is.NoErr(get(existing, address))                                         // an existing connection is not closed
	is.True(get(certifier.NewPeer(client, certifier.Entry), address) != nil) // the server no longer trusts the old authority
	next.issue(t, clientDir, certifier.Sidecar)
	is.NoErr(client.Reload())
	is.NoErr(get(certifier.NewPeer(client, certifier.Entry), address))
}

func TestInvalidFilesKeepPrevious(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	dir := t.TempDir()
	c := a.issue(t, dir, certifier.Entry)
	server := load(t, c)
	is.NoErr(os.WriteFile(c.Key, []byte("not a key"), 0o600))
	is.True(server.Reload() != nil)
	address := serve(t, server.Server(certifier.Sidecar))
	client := load(t, a.issue(t, t.TempDir(), certifier.Sidecar))
	is.NoErr(get(certifier.NewPeer(client, certifier.Entry), address))
}
