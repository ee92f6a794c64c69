package agent

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/setup"
)

// authority is a certificate authority for one test.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir(), key: newKey(t)}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(a.dir, name)
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// issue issues a certificate for an instance and returns its settings.
func (a *authority) issue(t *testing.T, name string) setup.Peers {
	t.Helper()
	key := newKey(t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	return setup.Peers{TLS: setup.TLSFiles{
		CA:   filepath.Join(a.dir, "ca.pem"),
		Cert: a.write(t, name+".pem", "CERTIFICATE", der),
		Key:  a.write(t, name+".key", "PRIVATE KEY", private),
	}}
}

// handshake opens a link from one instance to another and returns the errors of
// both sides.
func handshake(t *testing.T, from, to *auth) (client, server error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	near, far := net.Pipe()
	done := make(chan error, 1)
	go func() {
		s, err := frame.Server(ctx, far, func(*frame.Stream) {}, to.server...)
		if err == nil {
			err = s.Close()
		}
		done <- err
	}()
	s, client := frame.Client(ctx, near, from.client...)
	if client == nil {
		defer func() { _ = s.Close() }()
	} else {
		_ = near.Close()
	}
	return client, <-done
}

// TestPeerAuthentication guards against passing the certificate files in the
// wrong order, and against links to a node with a certificate of another
// authority or with another secret.
func TestPeerAuthentication(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	for _, c := range []struct {
		name     string
		from, to setup.Peers
		ok       bool
	}{
		{"same authority", first.issue(t, "a"), first.issue(t, "b"), true},
		{"other authority", second.issue(t, "a"), first.issue(t, "b"), false},
		{"same secret", setup.Peers{Secret: "sixteen bytes or more"}, setup.Peers{Secret: "sixteen bytes or more"}, true},
		{"other secret", setup.Peers{Secret: "sixteen bytes or less"}, setup.Peers{Secret: "sixteen bytes or more"}, false},
		{"secret against certificate", setup.Peers{Secret: "sixteen bytes or more"}, first.issue(t, "c"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			from, err := newAuth("a", c.from)
			assert.NilError(t, err)
			to, err := newAuth("b", c.to)
			assert.NilError(t, err)
			client, server := handshake(t, from, to)
			assert.Equal(t, client == nil && server == nil, c.ok, "client: %v, server: %v", client, server)
		})
	}
}
