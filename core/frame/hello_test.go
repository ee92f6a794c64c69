package frame

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// mustNotServe returns a handler that fails the test if a stream is opened on
// an unauthenticated session.
func mustNotServe(t testing.TB) Handler {
	return func(*Stream) { t.Error("a stream was opened on an unauthenticated session") }
}

func assertHandshake(t testing.TB, err error, auth bool, text string) {
	t.Helper()
	var he *HandshakeError
	assert.Assert(t, errors.As(err, &he), "%v", err)
	assert.ErrorContains(t, err, text)
	assert.Equal(t, he.Auth, auth)
}

// Both sides must return an error with the reason of the mismatch, and neither
// may return a session.
func TestHandshakeMismatch(t *testing.T) {
	for _, c := range []struct {
		name         string
		client       []Option
		auth         bool
		cText, sText string
	}{
		{"wrong secret", named("a", WithSecret([]byte("fedcba9876543210"))), true, "secrets differ", "secrets differ"},
		{"longer secret", named("a", WithSecret(append(secret, 0))), true, "secrets differ", "secrets differ"},
		{"short secret", named("a", WithSecret(secret[:15])), false, "shorter than 16", "closed"},
		{"no name", named(""), false, "name", "closed"},
		{"no authentication", []Option{WithName("a")}, false, "neither", "closed"},
		{"unexpected peer", named("a", WithPeer("c")), true, "another instance", "another instance"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := tcpPair(t)
			cs, ss, cerr, serr := connectBoth(a, b, mustNotServe(t), c.client, named("b"))
			assert.Assert(t, cs == nil && ss == nil)
			assertHandshake(t, cerr, c.auth, c.cText)
			assertHandshake(t, serr, c.auth, c.sText)
		})
	}
}

// rawHandshake sends and receives individual handshake steps, to simulate an
// attacker.
type rawHandshake struct {
	t    testing.TB
	conn net.Conn
}

func (r rawHandshake) send(step byte, msg []byte) {
	writeFrames(r.t, r.conn, Frame{Type: TypeHello, Payload: append([]byte{step}, msg...)})
}

func (r rawHandshake) recv(step byte) []byte {
	f := readUntil(r.t, r.conn, TypeHello)
	assert.Equal(r.t, f.Payload[0], step, "%q", f.Payload)
	return f.Payload[1:]
}

// startServer starts a server and returns the attacker's end of the connection
// and the server's error.
func startServer(t testing.TB) (rawHandshake, <-chan error) {
	a, b := tcpPair(t)
	t.Cleanup(func() { a.Close() })
	failed := make(chan error, 1)
	go func() {
		_, err := Server(bg, b, mustNotServe(t), named("b")...)
		failed <- err
	}()
	return rawHandshake{t, a}, failed
}

// A replay of a recorded handshake must not open a second session.
func TestReplayedHandshake(t *testing.T) {
	a, b := tcpPair(t)
	var sent bytes.Buffer
	cs, ss, cerr, serr := connectBoth(helloRecorder{a, &sent}, b, nil, named("a"), named("b"))
	assert.NilError(t, errors.Join(cerr, serr))
	closeAll(cs, ss)
	attacker, failed := startServer(t)
	_, err := attacker.conn.Write(sent.Bytes())
	assert.NilError(t, err)
	assertHandshake(t, <-failed, true, "secrets differ")
}

// helloRecorder records the hello frames that are written.
type helloRecorder struct {
	net.Conn
	sent *bytes.Buffer
}

func (r helloRecorder) Write(p []byte) (int, error) {
	if Type(p[4]) == TypeHello {
		r.sent.Write(p)
	}
	return r.Conn.Write(p)
}

// Reflecting messages of a peer, on the same connection or on another one, must
// not authenticate an attacker without the secret.
func TestReflectedHandshake(t *testing.T) {
	t.Run("own hello", func(t *testing.T) {
		a, b := tcpPair(t)
		defer b.Close()
		go func() { _, _ = io.Copy(b, b) }()
		_, err := Client(bg, a, named("a")...)
		assertHandshake(t, err, true, "came back")
	})
	t.Run("own proof", func(t *testing.T) {
		attacker, failed := startServer(t)
		attacker.send(stepHello, testHello(t))
		attacker.recv(stepHello)
		attacker.send(stepProof, attacker.recv(stepProof))
		assertHandshake(t, <-failed, true, "secrets differ")
	})
	t.Run("proof of another connection", func(t *testing.T) {
		// The attacker relays a server's proof to a client under its own name.
		// The client must reject it because the names are part of the proof.
		a, b := tcpPair(t)
		defer b.Close()
		failed := make(chan error, 1)
		go func() { _, err := Client(bg, a, named("a")...); failed <- err }()
		toClient := rawHandshake{t, b}
		toServer, served := startServer(t)
		toServer.send(stepHello, toClient.recv(stepHello))
		var h hello
		assert.NilError(t, msgpack.Unmarshal(toServer.recv(stepHello), &h))
		h.Name = "mallory"
		msg, err := msgpack.Marshal(&h)
		assert.NilError(t, err)
		toClient.send(stepHello, msg)
		toClient.send(stepProof, toServer.recv(stepProof))
		assertHandshake(t, <-failed, true, "secrets differ")
		toServer.conn.Close()
		assertHandshake(t, <-served, false, "closed")
	})
}

func testHello(t testing.TB, change ...func(*hello)) []byte {
	h := hello{
		Version: protocolVersion, Name: "mallory", Nonce: make([]byte, nonceBytes), Proof: true,
		StreamWindow: minWindow, SessionWindow: minWindow, MaxStreams: 1,
	}
	for _, f := range change {
		f(&h)
	}
	msg, err := msgpack.Marshal(&h)
	assert.NilError(t, err)
	return msg
}

// A malformed or unexpected first message of an unauthenticated peer must be
// rejected.
func TestBadHello(t *testing.T) {
	for _, c := range []struct {
		name  string
		frame Frame
		text  string
	}{
		{"version", helloFrame(testHello(t, func(h *hello) { h.Version++ })), "versions differ"},
		{"no proof", helloFrame(testHello(t, func(h *hello) { h.Proof = false })), "only one side"},
		{"nonce", helloFrame(testHello(t, func(h *hello) { h.Nonce = h.Nonce[1:] })), "nonce"},
		{"name", helloFrame(testHello(t, func(h *hello) { h.Name = "" })), "name"},
		{"window", helloFrame(testHello(t, func(h *hello) { h.StreamWindow = 0 })), "limits"},
		{"msgpack", helloFrame([]byte{0xc1}), "malformed"},
		{"open first", openFrame(1), "unexpected frame"},
		{"proof first", Frame{TypeHello, 0, []byte{stepProof}}, "unexpected step"},
		{"accept first", Frame{TypeHello, 0, []byte{stepAccept}}, "unexpected step"},
		{"empty", Frame{TypeHello, 0, nil}, "unexpected frame"},
		{"too large", Frame{TypeHello, 0, make([]byte, maxHelloBytes+1)}, "out of range"},
	} {
		t.Run(c.name, func(t *testing.T) {
			attacker, failed := startServer(t)
			writeFrames(t, attacker.conn, c.frame)
			err := <-failed
			assert.Assert(t, errors.As(err, new(*HandshakeError)))
			assert.ErrorContains(t, err, c.text)
		})
	}
}

func helloFrame(msg []byte) Frame {
	return Frame{Type: TypeHello, Payload: append([]byte{stepHello}, msg...)}
}

// A peer that connects and sends nothing must not occupy a goroutine beyond the
// handshake timeout.
func TestHandshakeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b := net.Pipe()
		began := time.Now()
		_, err := Server(bg, b, mustNotServe(t), named("b")...)
		assertHandshake(t, err, false, "deadline exceeded")
		assert.Equal(t, time.Since(began), DefaultHandshakeTimeout)
	})
}

// authority is a certificate authority that writes its certificates to dir.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) *authority {
	a := &authority{dir: t.TempDir()}
	a.cert, a.key = a.issue(t, "ca", func(c *x509.Certificate) { c.IsCA, c.BasicConstraintsValid = true, true })
	return a
}

func (a *authority) issue(
	t testing.TB, name string, change func(*x509.Certificate),
) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	change(c)
	signer, signKey := c, key
	if a.cert != nil {
		signer, signKey = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, signer, &key.PublicKey, signKey)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, a.path(name, "crt"), "CERTIFICATE", der)
	writePEM(t, a.path(name, "key"), "PRIVATE KEY", keyDER)
	c, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return c, key
}

func writePEM(t testing.TB, path, kind string, der []byte) {
	p := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(path, p, 0o600))
}

func (a *authority) path(name, ext string) string { return filepath.Join(a.dir, name+"."+ext) }

func (a *authority) configs(t testing.TB, name string) (client, server *tls.Config) {
	a.issue(t, name, func(*x509.Certificate) {})
	client, server, err := TLSConfigs(a.path(name, "crt"), a.path(name, "key"), a.path("ca", "crt"))
	assert.NilError(t, err)
	return client, server
}

func TestTLS(t *testing.T) {
	fleet, other := newAuthority(t), newAuthority(t)
	client, _ := fleet.configs(t, "a")
	_, server := fleet.configs(t, "b")
	otherClient, otherServer := other.configs(t, "a")
	clientWithOtherCert := client.Clone() // trusts the server, so that only the server's check can fail
	clientWithOtherCert.Certificates = otherClient.Certificates
	for _, c := range []struct {
		name           string
		client, server *tls.Config
		clientName     string
		cText, sText   string
	}{
		{"accepted", client, server, "a", "", ""},
		{"foreign client", clientWithOtherCert, server, "a", "", "unknown authority"},
		{"foreign server", client, otherServer, "a", "unknown authority", "TLS"},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, server, "a", "", "TLS"},
		{"name of another instance", client, server, "c", "certificate", "certificate"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := tcpPair(t)
			var served atomic.Bool
			cs, ss, cerr, serr := connectBoth(a, b, func(st *Stream) { served.Store(true); echo(st) },
				[]Option{WithName(c.clientName), WithTLS(c.client)}, []Option{WithName("b"), WithTLS(c.server)})
			if c.name != "accepted" {
				assertHandshake(t, serr, true, c.sText)
				assert.Assert(t, errors.As(cerr, new(*HandshakeError)))
				assert.ErrorContains(t, cerr, c.cText)
				assert.Assert(t, !served.Load())
				return
			}
			assert.NilError(t, errors.Join(cerr, serr))
			assert.Equal(t, cs.Peer()+ss.Peer(), "ba")
			assert.NilError(t, exchange(cs, []byte("head"), make([]byte, 1<<20)))
			assert.NilError(t, ss.Shutdown(bg))
			closeAll(cs)
		})
	}
}
