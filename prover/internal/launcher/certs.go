package launcher

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// certLifetime is the validity period of the certificates of a scenario.
const certLifetime = time.Hour

// authority is the certificate authority of a stack.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "stack"}, NotAfter: time.Now().Add(certLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &authority{certificate: certificate, key: key}, err
}

// IssueCertificate writes a new certificate and key for a process and replaces
// those it has.
func (s *Stack) IssueCertificate(name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	role := strings.TrimRight(name, "0123456789")
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(certLifetime),
		Subject:     pkix.Name{CommonName: name, OrganizationalUnit: []string{role}},
		IPAddresses: []net.IP{net.ParseIP(s.config.Address)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, s.authority.certificate, &key.PublicKey, s.authority.key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(s.file(name, ".key"), "EC PRIVATE KEY", private); err != nil {
		return err
	}
	if err := writePEM(s.file("authority", ".pem"), "CERTIFICATE", s.authority.certificate.Raw); err != nil {
		return err
	}
	return writePEM(s.file(name, ".pem"), "CERTIFICATE", der)
}

func writePEM(path, blockType string, data []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: data}), 0o600)
}

// tlsTable returns the TOML table [tls] of a process and the table [front] of an
// entry, or an empty string for a stack without TLS.
func (s *Stack) tlsTable(sp Spec, name string) string {
	if !sp.TLS {
		return ""
	}
	text := fmt.Sprintf("[tls]\ncertificate = %q\nkey = %q\nauthority = %q\nevery = 100\n",
		s.file(name, ".pem"), s.file(name, ".key"), s.file("authority", ".pem"))
	if sp.CallerTLS && strings.HasPrefix(name, "entry") {
		text += fmt.Sprintf("[front]\ncertificate = %q\nkey = %q\nevery = 100\n", s.file(name, ".pem"), s.file(name, ".key"))
	}
	return text
}

// trustAuthority makes the client of s call over TLS and trust only the authority
// of the stack.
func (s *Stack) trustAuthority() {
	pool := x509.NewCertPool()
	pool.AddCert(s.authority.certificate)
	s.scheme = "https://"
	s.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
}

// issueCertificates creates the authority and writes the certificates of every
// entry and sidecar.
func (s *Stack) issueCertificates(sp Spec) error {
	if !sp.TLS {
		return nil
	}
	var err error
	if s.authority, err = newAuthority(); err != nil {
		return err
	}
	if sp.CallerTLS {
		s.trustAuthority()
	}
	for n := range sp.Entries {
		if err := s.IssueCertificate(fmt.Sprintf("entry%d", n)); err != nil {
			return err
		}
	}
	for n := range sp.Engines + sp.Services {
		if err := s.IssueCertificate(fmt.Sprintf("sidecar%d", n)); err != nil {
			return err
		}
	}
	return nil
}
