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

// mustNotServe fails the test if a stream opens on an unauthenticated session.
func mustNotServe(t testing.TB) Handler {
	return func(*Stream) { t.Error("a stream opened") }
}

func assertHandshake(t testing.TB, err error, auth bool, text string) {
	t.Helper()
	var he *HandshakeError
	assert.Assert(t, errors.As(err, &he), "%v", err)
	assert.ErrorContains(t, err, text)
	assert.Equal(t, he.Auth, auth)
}

// Both sides must learn of the mismatch, and no session may come up.
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
			cs, ss, cerr, serr := both(a, b, mustNotServe(t), c.client, named("b"))
			assert.Assert(t, cs == nil && ss == nil)
			assertHandshake(t, cerr, c.auth, c.cText)
			assertHandshake(t, serr, c.auth, c.sText)
		})
	}
}

// rawHello writes handshake steps by hand, to act as an attacker.
type rawHello struct {
	t    testing.TB
	conn net.Conn
}

func (r rawHello) send(step byte, msg []byte) {
	put(r.t, r.conn, Frame{Type: TypeHello, Payload: append([]byte{step}, msg...)})
}

func (r rawHello) recv(step byte) []byte {
	f := await(r.t, r.conn, TypeHello)
	assert.Equal(r.t, f.Payload[0], step, "%q", f.Payload)
	return f.Payload[1:]
}

// serve starts a server side and returns the attacker's end.
func serve(t testing.TB) (rawHello, <-chan error) {
	a, b := tcpPair(t)
	t.Cleanup(func() { a.Close() })
	failed := make(chan error, 1)
	go func() {
		_, err := Server(bg, b, mustNotServe(t), named("b")...)
		failed <- err
	}()
	return rawHello{t, a}, failed
}

// A recorded handshake must not open a second session.
func TestReplayedHandshake(t *testing.T) {
	a, b := tcpPair(t)
	var sent bytes.Buffer
	cs, ss, cerr, serr := both(recorder{a, &sent}, b, nil, named("a"), named("b"))
	assert.NilError(t, errors.Join(cerr, serr))
	closeAll(cs, ss)
	attacker, failed := serve(t)
	_, err := attacker.conn.Write(sent.Bytes())
	assert.NilError(t, err)
	assertHandshake(t, <-failed, true, "secrets differ")
}

// recorder keeps what is written before the session runs.
type recorder struct {
	net.Conn
	sent *bytes.Buffer
}

func (r recorder) Write(p []byte) (int, error) {
	if Type(p[4]) == TypeHello {
		r.sent.Write(p)
	}
	return r.Conn.Write(p)
}

// An attacker without the secret that sends our own messages back, to the same
// connection or to another one, must fail.
func TestReflectedHandshake(t *testing.T) {
	t.Run("own hello", func(t *testing.T) {
		a, b := tcpPair(t)
		defer b.Close()
		go func() { _, _ = io.Copy(b, b) }()
		_, err := Client(bg, a, named("a")...)
		assertHandshake(t, err, true, "came back")
	})
	t.Run("own proof", func(t *testing.T) {
		attacker, failed := serve(t)
		attacker.send(stepHello, testHello(t))
		attacker.recv(stepHello)
		attacker.send(stepProof, attacker.recv(stepProof))
		assertHandshake(t, <-failed, true, "secrets differ")
	})
	t.Run("proof of another connection", func(t *testing.T) {
		// The attacker answers a client with what a server proves to it, under
		// its own name: the names are part of the proof.
		a, b := tcpPair(t)
		defer b.Close()
		failed := make(chan error, 1)
		go func() { _, err := Client(bg, a, named("a")...); failed <- err }()
		toClient := rawHello{t, b}
		toServer, served := serve(t)
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

// A peer that isn't authenticated must not get past any check of the hello.
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
		{"open first", open(1), "unexpected frame"},
		{"proof first", Frame{TypeHello, 0, []byte{stepProof}}, "unexpected step"},
		{"accept first", Frame{TypeHello, 0, []byte{stepAccept}}, "unexpected step"},
		{"empty", Frame{TypeHello, 0, nil}, "unexpected frame"},
		{"too large", Frame{TypeHello, 0, make([]byte, maxHelloBytes+1)}, "out of range"},
	} {
		t.Run(c.name, func(t *testing.T) {
			attacker, failed := serve(t)
			put(t, attacker.conn, c.frame)
			err := <-failed
			assert.Assert(t, errors.As(err, new(*HandshakeError)))
			assert.ErrorContains(t, err, c.text)
		})
	}
}

func helloFrame(msg []byte) Frame {
	return Frame{Type: TypeHello, Payload: append([]byte{stepHello}, msg...)}
}

// A peer that connects and says nothing must not hold a goroutine for longer
// than the handshake timeout.
func TestHandshakeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, b := net.Pipe()
		began := time.Now()
		_, err := Server(bg, b, mustNotServe(t), named("b")...)
		assertHandshake(t, err, false, "deadline exceeded")
		assert.Equal(t, time.Since(began), DefaultHandshakeTimeout)
	})
}

// authority issues certificates into dir.
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
	foreign, foreignServer := other.configs(t, "a")
	foreignClient := client.Clone() // trusts the server, so that the server's check decides
	foreignClient.Certificates = foreign.Certificates
	for _, c := range []struct {
		name           string
		client, server *tls.Config
		clientName     string
		cText, sText   string
	}{
		{"accepted", client, server, "a", "", ""},
		{"foreign client", foreignClient, server, "a", "", "unknown authority"},
		{"foreign server", client, foreignServer, "a", "unknown authority", "TLS"},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, server, "a", "", "TLS"},
		{"name of another instance", client, server, "c", "certificate", "certificate"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := tcpPair(t)
			var served atomic.Bool
			cs, ss, cerr, serr := both(a, b, func(st *Stream) { served.Store(true); echo(st) },
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
