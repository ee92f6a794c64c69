package frame

import (
	"crypto/tls"
	"time"
)

// Default values of Options.
const (
	DefaultStreamWindow     = 256 << 10 // bytes; allows 85 MB/s on one stream at a round-trip time of 3 ms
	DefaultSessionWindow    = 4 << 20   // bytes; exhausted by 16 streams whose readers have stopped
	DefaultMaxStreams       = 1024
	DefaultPingInterval     = time.Second
	DefaultKeepaliveTimeout = 3 * time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultProgressTimeout  = 60 * time.Second
)

// Options configures a session. Windows are in bytes.
type Options struct {
	Name             string // instance name sent to the peer; required
	Secret           []byte // fleet secret; required without TLS
	TLS              *tls.Config
	Peer             string  // expected instance name of the peer; empty accepts any name
	Handler          Handler // serves the streams that the peer opens
	StreamWindow     int     // maximum unread bytes buffered for one stream
	SessionWindow    int     // maximum unread bytes buffered for all streams
	MaxStreams       int     // maximum concurrent streams that the peer may open
	PingInterval     time.Duration
	KeepaliveTimeout time.Duration
	HandshakeTimeout time.Duration
	ProgressTimeout  time.Duration // 0 disables the timeout
	Memory           Memory        // counts the unread bytes of all streams; may be nil
	OnClose          func(s *Session, err error)
	OnPanic          func(err error) // called with the *super.PanicError of a handler that panicked
}

// Option sets a field of Options.
type Option func(*Options)

// WithName sets the instance name that is sent to the peer.
func WithName(name string) Option { return func(o *Options) { o.Name = name } }

// WithSecret authenticates both sides with a shared fleet secret of at least
// MinSecretBytes bytes.
func WithSecret(secret []byte) Option { return func(o *Options) { o.Secret = secret } }

// WithTLS authenticates both sides with TLS certificates. The name in each
// certificate must match the instance name. See TLSConfigs.
func WithTLS(cfg *tls.Config) Option { return func(o *Options) { o.TLS = cfg } }

// WithPeer makes the handshake fail unless the peer has the given instance
// name.
func WithPeer(name string) Option { return func(o *Options) { o.Peer = name } }

// WithHandler sets the handler of streams that the peer opens. Without a
// handler they are refused.
func WithHandler(h Handler) Option { return func(o *Options) { o.Handler = h } }

// WithWindows sets the receive windows of each stream and of the session in
// bytes.
func WithWindows(stream, session int) Option {
	return func(o *Options) { o.StreamWindow, o.SessionWindow = stream, session }
}

// WithMaxStreams sets the maximum number of concurrent streams that the peer
// may open.
func WithMaxStreams(n int) Option { return func(o *Options) { o.MaxStreams = n } }

// WithKeepalive sets the ping interval and the keepalive timeout: the session
// ends with SessionError.Unreachable if no frame arrives for that time.
func WithKeepalive(interval, timeout time.Duration) Option {
	return func(o *Options) { o.PingInterval, o.KeepaliveTimeout = interval, timeout }
}

// WithHandshakeTimeout limits the duration of the handshake.
func WithHandshakeTimeout(d time.Duration) Option {
	return func(o *Options) { o.HandshakeTimeout = d }
}

// WithProgressTimeout resets a stream with CodeStalled if nothing is read,
// written or received on it for d. Zero disables the timeout.
// Stream.SetProgressTimeout overrides it for one stream.
func WithProgressTimeout(d time.Duration) Option {
	return func(o *Options) { o.ProgressTimeout = d }
}

// Memory is the memory that the unread bytes of streams share with others, in bytes. Its methods
// are called with locks held and must not call the session.
type Memory interface {
	Take(n int64, now time.Time) bool // false if the memory is exhausted; the bytes are taken in any case
	Shrink(n int64)                   // returns bytes
	Full() bool                       // streams whose reader has stopped must give way
}

// WithMemory counts the unread bytes of all streams in m, which several sessions may share. A
// stream that holds more than freeUnreadBytes is reset with CodeStalled if m is exhausted when
// more arrives, or if m is full and its reader has stopped.
func WithMemory(m Memory) Option {
	return func(o *Options) { o.Memory = m }
}

// WithOnClose sets a function that is called once after the session has ended.
func WithOnClose(f func(s *Session, err error)) Option {
	return func(o *Options) { o.OnClose = f }
}

// WithOnPanic sets a function that is called when a handler panicked. The stream is then
// reset with CodeInternal and the session continues.
func WithOnPanic(f func(err error)) Option {
	return func(o *Options) { o.OnPanic = f }
}

func newOptions(opts []Option) (Options, error) {
	o := Options{
		StreamWindow:     DefaultStreamWindow,
		SessionWindow:    DefaultSessionWindow,
		MaxStreams:       DefaultMaxStreams,
		PingInterval:     DefaultPingInterval,
		KeepaliveTimeout: DefaultKeepaliveTimeout,
		HandshakeTimeout: DefaultHandshakeTimeout,
		ProgressTimeout:  DefaultProgressTimeout,
		OnPanic:          func(error) {},
	}
	for _, f := range opts {
		f(&o)
	}
	return o, o.check()
}

func (o *Options) check() error {
	switch {
	case o.Name == "" || len(o.Name) > maxNameBytes:
		return &HandshakeError{Reason: "own instance name is missing or too long"}
	case o.TLS == nil && len(o.Secret) == 0:
		return &HandshakeError{Reason: "neither a fleet secret nor TLS is configured"}
	case len(o.Secret) > 0 && len(o.Secret) < MinSecretBytes:
		return &HandshakeError{Reason: "fleet secret is shorter than 16 bytes"}
	case o.StreamWindow < minWindow || o.SessionWindow < o.StreamWindow || o.SessionWindow > maxWindow:
		return &HandshakeError{Reason: "window sizes out of range"}
	case o.MaxStreams < 1 || o.PingInterval <= 0 || o.KeepaliveTimeout <= o.PingInterval || o.HandshakeTimeout <= 0:
		return &HandshakeError{Reason: "stream limit or time limits out of range"}
	}
	return nil
}
