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

// MinSecretBytes is the least length of a fleet secret.
const MinSecretBytes = 16

const (
	protocolVersion = 1
	nonceBytes      = 32
	maxNameBytes    = 255
	maxHelloBytes   = 1 << 10 // an unauthenticated peer can't make us hold more
	minWindow       = 1 << 10
	maxWindow       = 1 << 30
)

// Steps of the handshake; the first byte of a hello frame.
const (
	stepHello  = iota + 1 // msgpack of hello
	stepProof             // HMAC over the role and both hello messages
	stepAccept            // empty
	stepReject            // text
)

// Roles that the proofs name, so that neither side's proof serves as the other's.
const (
	roleClient = "dogwoodsill frame client"
	roleServer = "dogwoodsill frame server"
)

// hello is the first message of each side.
type hello struct {
	Version       int    `msgpack:"version"`
	Name          string `msgpack:"name"`
	Nonce         []byte `msgpack:"nonce"`
	Proof         bool   `msgpack:"proof"` // proofs with the fleet secret follow
	StreamWindow  int    `msgpack:"streamWindow"`
	SessionWindow int    `msgpack:"sessionWindow"`
	MaxStreams    int    `msgpack:"maxStreams"`
}

// shaker performs one handshake.
type shaker struct {
	conn net.Conn
	opt  *Options
	in   frameReader
	own  hello
	peer hello
	sent []byte // own hello message
	got  []byte // hello message of the peer
}

// handshake authenticates both sides and exchanges the limits. The client sends
// its hello; the server answers with its hello and its proof; the client checks
// the proof and sends its own; the server accepts. It returns the connection to
// use from then on and the hello of the peer.
func handshake(ctx context.Context, conn net.Conn, o *Options, client bool) (net.Conn, hello, error) {
	ctx, cancel := context.WithTimeout(ctx, o.HandshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	h := &shaker{opt: o}
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

func (h *shaker) run(ctx context.Context, conn net.Conn, client bool) error {
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
	// No buffer: bytes after the handshake belong to the session.
	h.in = frameReader{r: h.conn, limit: maxHelloBytes}
	if err := h.prepare(); err != nil {
		return err
	}
	if client {
		return h.runClient()
	}
	return h.runServer()
}

func (h *shaker) prepare() error {
	h.own = hello{
		Version: protocolVersion, Name: h.opt.Name, Nonce: make([]byte, nonceBytes), Proof: len(h.opt.Secret) > 0,
		StreamWindow: h.opt.StreamWindow, SessionWindow: h.opt.SessionWindow, MaxStreams: h.opt.MaxStreams,
	}
	if _, err := rand.Read(h.own.Nonce); err != nil {
		return err
	}
	var err error
	h.sent, err = msgpack.Marshal(&h.own)
	return err
}

func (h *shaker) runClient() error {
	if err := h.send(stepHello, h.sent); err != nil {
		return err
	}
	if err := h.recvHello(); err != nil {
		return err
	}
	if h.own.Proof {
		if err := h.recvProof(roleServer, h.sent, h.got); err != nil {
			return err
		}
		if err := h.send(stepProof, h.proof(roleClient, h.sent, h.got)); err != nil {
			return err
		}
	}
	_, err := h.recv(stepAccept)
	return err
}

func (h *shaker) runServer() error {
	if err := h.recvHello(); err != nil {
		return err
	}
	if err := h.send(stepHello, h.sent); err != nil {
		return err
	}
	if h.own.Proof {
		if err := h.send(stepProof, h.proof(roleServer, h.got, h.sent)); err != nil {
			return err
		}
		if err := h.recvProof(roleClient, h.got, h.sent); err != nil {
			return err
		}
	}
	return h.send(stepAccept, nil)
}

func (h *shaker) send(step byte, msg []byte) error {
	var b bytes.Buffer
	_ = WriteFrame(&b, Frame{Type: TypeHello, Payload: append([]byte{step}, msg...)})
	_, err := h.conn.Write(b.Bytes())
	return err
}

// reject tells the peer why the handshake fails and returns the error.
func (h *shaker) reject(e *HandshakeError) error {
	_ = h.send(stepReject, []byte(e.Reason))
	return e
}

func (h *shaker) recv(step byte) ([]byte, error) {
	f, err := h.in.next()
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
		return nil, &HandshakeError{Reason: "rejected by peer: " + printable(f.Payload[1:]), Auth: true}
	default:
		return nil, h.reject(&HandshakeError{Reason: "unexpected step", Cause: wireErrorf("handshake step %d", f.Payload[0])})
	}
}

// printable keeps a text of an unauthenticated peer to one short line of ASCII.
func printable(b []byte) string {
	b = bytes.Clone(b[:min(len(b), 100)])
	for i, c := range b {
		if c < ' ' || c > '~' {
			b[i] = '?'
		}
	}
	return string(b)
}

func (h *shaker) recvHello() error {
	msg, err := h.recv(stepHello)
	if err != nil {
		return err
	}
	h.got = bytes.Clone(msg)
	if err := msgpack.Unmarshal(h.got, &h.peer); err != nil {
		return h.reject(&HandshakeError{Reason: "malformed hello", Cause: err})
	}
	return h.checkHello()
}

func (h *shaker) checkHello() error {
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

// proof binds the role and both hello messages, and with them the protocol
// version, the instance names and both nonces.
func (h *shaker) proof(role string, clientHello, serverHello []byte) []byte {
	// HMAC pads its key with zeros, so a secret and the same one followed by
	// zero bytes would be equal without the digest.
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

func (h *shaker) recvProof(role string, clientHello, serverHello []byte) error {
	msg, err := h.recv(stepProof)
	if err != nil {
		return err
	}
	if subtle.ConstantTimeCompare(msg, h.proof(role, clientHello, serverHello)) != 1 {
		return h.reject(&HandshakeError{Reason: "authentication failed: fleet secrets differ", Auth: true})
	}
	return nil
}
