package frame

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// MinSecretBytes is the minimum length of a fleet secret.
const MinSecretBytes = 16

const (
	protocolVersion = 1
	nonceBytes      = 32
	maxNameBytes    = 255
	maxHelloBytes   = 1 << 10 // bounds the memory that an unauthenticated peer can make this side allocate
	minWindow       = 1 << 10
	maxWindow       = 1 << 30
)

// Handshake steps. The step is the first payload byte of a hello frame.
const (
	stepHello  = iota + 1 // hello message, encoded with msgpack
	stepProof             // HMAC over the role and both hello messages
	stepAccept            // no content
	stepReject            // reason of the rejection as text
)

// Roles covered by the proofs. They prevent reflection: the proof of one side
// is not valid as the proof of the other.
const (
	roleClient = "dogwoodsill frame client"
	roleServer = "dogwoodsill frame server"
)

// hello is the first message that each side sends.
type hello struct {
	Version       int    `msgpack:"version"`
	Name          string `msgpack:"name"`
	Nonce         []byte `msgpack:"nonce"`
	Proof         bool   `msgpack:"proof"` // the sender authenticates with the fleet secret
	StreamWindow  int    `msgpack:"streamWindow"`
	SessionWindow int    `msgpack:"sessionWindow"`
	MaxStreams    int    `msgpack:"maxStreams"`
}

// handshaker holds the state of one handshake.
type handshaker struct {
	conn    net.Conn
	opt     *Options
	reader  frameReader
	own     hello
	peer    hello
	ownMsg  []byte // encoded hello message of this side
	peerMsg []byte // encoded hello message of the peer
}

// handshake authenticates both sides and exchanges their limits. The client
// sends its hello; the server sends its hello and its proof; the client
// verifies that proof and sends its own; the server accepts. It returns the
// connection that the session uses, which is a TLS connection if TLS is
// configured, and the hello of the peer.
func handshake(ctx context.Context, conn net.Conn, o *Options, client bool) (net.Conn, hello, error) {
	ctx, cancel := context.WithTimeout(ctx, o.HandshakeTimeout)
	defer cancel()
	// A deadline in the past makes pending reads and writes fail.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	h := &handshaker{opt: o}
	err := h.run(ctx, conn, client)
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err == nil {
		return h.conn, h.peer, nil
	}
	if ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	var he *HandshakeError
	if !errors.As(err, &he) {
		err = &HandshakeError{Reason: "failed", Cause: err}
	}
	_ = conn.Close()
	return nil, hello{}, err
}

func (h *handshaker) run(ctx context.Context, conn net.Conn, client bool) error {
	h.conn = conn
	if h.opt.TLS != nil {
		c := tls.Server(conn, h.opt.TLS)
		if client {
			c = tls.Client(conn, h.opt.TLS)
		}
		if err := c.HandshakeContext(ctx); err != nil {
			return &HandshakeError{Reason: "TLS", Auth: true, Cause: err}
		}
		h.conn = c
	}
	// The reader is unbuffered, so that it doesn't consume bytes after the
	// handshake, which belong to the session.
	h.reader = frameReader{r: h.conn, limit: maxHelloBytes}
	if err := h.prepare(); err != nil {
		return err
	}
	if client {
		return h.runClient()
	}
	return h.runServer()
}

func (h *handshaker) prepare() error {
	h.own = hello{
		Version: protocolVersion, Name: h.opt.Name, Nonce: make([]byte, nonceBytes), Proof: len(h.opt.Secret) > 0,
		StreamWindow: h.opt.StreamWindow, SessionWindow: h.opt.SessionWindow, MaxStreams: h.opt.MaxStreams,
	}
	if _, err := rand.Read(h.own.Nonce); err != nil {
		return err
	}
	var err error
	h.ownMsg, err = msgpack.Marshal(&h.own)
	return err
}

func (h *handshaker) runClient() error {
	if err := h.send(stepHello, h.ownMsg); err != nil {
		return err
	}
	if err := h.recvHello(); err != nil {
		return err
	}
	if h.own.Proof {
		if err := h.recvProof(roleServer, h.ownMsg, h.peerMsg); err != nil {
			return err
		}
		if err := h.send(stepProof, h.proof(roleClient, h.ownMsg, h.peerMsg)); err != nil {
			return err
		}
	}
	_, err := h.recv(stepAccept)
	return err
}

func (h *handshaker) runServer() error {
	if err := h.recvHello(); err != nil {
		return err
	}
	if err := h.send(stepHello, h.ownMsg); err != nil {
		return err
	}
	if h.own.Proof {
		if err := h.send(stepProof, h.proof(roleServer, h.peerMsg, h.ownMsg)); err != nil {
			return err
		}
		if err := h.recvProof(roleClient, h.peerMsg, h.ownMsg); err != nil {
			return err
		}
	}
	return h.send(stepAccept, nil)
}

func (h *handshaker) send(step byte, msg []byte) error {
	var b bytes.Buffer
	_ = WriteFrame(&b, Frame{Type: TypeHello, Payload: append([]byte{step}, msg...)})
	_, err := h.conn.Write(b.Bytes())
	return err
}

// reject sends the reason of the failure to the peer and returns e.
func (h *handshaker) reject(e *HandshakeError) error {
	_ = h.send(stepReject, []byte(e.Reason))
	return e
}

func (h *handshaker) recv(step byte) ([]byte, error) {
	f, err := h.reader.next()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = &HandshakeError{Reason: "peer closed the connection", Cause: err}
		}
		return nil, err
	}
	if f.Type != TypeHello || f.Stream != 0 || len(f.Payload) == 0 {
		return nil, h.reject(&HandshakeError{Reason: "unexpected frame", Cause: wireErrorf("type %d in handshake", f.Type)})
	}
	switch f.Payload[0] {
	case step:
		return f.Payload[1:], nil
	case stepReject:
		return nil, &HandshakeError{Reason: "rejected by peer: " + sanitize(f.Payload[1:]), Auth: true}
	default:
		return nil, h.reject(&HandshakeError{Reason: "unexpected step", Cause: wireErrorf("handshake step %d", f.Payload[0])})
	}
}

// sanitize limits a text from an unauthenticated peer to 100 bytes of printable
// ASCII.
func sanitize(b []byte) string {
	b = bytes.Clone(b[:min(len(b), 100)])
	for i, c := range b {
		if c < ' ' || c > '~' {
			b[i] = '?'
		}
	}
	return string(b)
}

func (h *handshaker) recvHello() error {
	msg, err := h.recv(stepHello)
	if err != nil {
		return err
	}
	h.peerMsg = bytes.Clone(msg)
	if err := Decode(h.peerMsg, &h.peer); err != nil {
		return h.reject(&HandshakeError{Reason: "malformed hello", Cause: err})
	}
	return h.checkHello()
}

func (h *handshaker) checkHello() error {
	p := &h.peer
	switch {
	case p.Version != protocolVersion:
		return h.reject(&HandshakeError{Reason: "protocol versions differ"})
	case p.Proof != h.own.Proof:
		return h.reject(&HandshakeError{Reason: "only one side uses a fleet secret", Auth: true})
	case p.Name == "" || len(p.Name) > maxNameBytes || len(p.Nonce) != nonceBytes:
		return h.reject(&HandshakeError{Reason: "name or nonce out of range"})
	case bytes.Equal(p.Nonce, h.own.Nonce):
		return h.reject(&HandshakeError{Reason: "own hello came back", Auth: true})
	case p.StreamWindow < minWindow || p.SessionWindow < p.StreamWindow || p.SessionWindow > maxWindow || p.MaxStreams < 1:
		return h.reject(&HandshakeError{Reason: "limits out of range"})
	}
	if h.opt.Peer != "" && p.Name != h.opt.Peer {
		return h.reject(&HandshakeError{Reason: "another instance was expected", Auth: true})
	}
	if c, ok := h.conn.(*tls.Conn); ok && h.opt.TLS != nil {
		if name := certName(c.ConnectionState()); name != p.Name {
			return h.reject(&HandshakeError{Reason: "instance name is not that of the certificate", Auth: true})
		}
	}
	return nil
}

// proof returns an HMAC over the role and both hello messages, which contain
// the protocol version, the instance names and the nonces.
func (h *handshaker) proof(role string, clientHello, serverHello []byte) []byte {
	// HMAC pads a short key with zero bytes. Without hashing the secret first,
	// a secret and the same secret with trailing zero bytes would give the same
	// proof.
	key := sha256.Sum256(h.opt.Secret)
	m := hmac.New(sha256.New, key[:])
	for _, part := range [][]byte{[]byte(role), clientHello, serverHello} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		m.Write(n[:])
		m.Write(part)
	}
	return m.Sum(nil)
}

func (h *handshaker) recvProof(role string, clientHello, serverHello []byte) error {
	msg, err := h.recv(stepProof)
	if err != nil {
		return err
	}
	if subtle.ConstantTimeCompare(msg, h.proof(role, clientHello, serverHello)) != 1 {
		return h.reject(&HandshakeError{Reason: "authentication failed: fleet secrets differ", Auth: true})
	}
	return nil
}
