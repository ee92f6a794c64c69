package frame

import (
	"crypto/tls"
	"time"
)

// Defaults of Options.
const (
	DefaultStreamWindow     = 256 << 10 // bytes; 85 MB/s for one stream at 3 ms round trip
	DefaultSessionWindow    = 4 << 20   // bytes; 16 streams whose readers stopped, then the session waits
	DefaultMaxStreams       = 1024
	DefaultPingInterval     = time.Second
	DefaultKeepaliveTimeout = 3 * time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultProgressTimeout  = 60 * time.Second
)

// Options are the parameters of a session. Windows are in bytes.
type Options struct {
	Name             string // instance name that the peer sees; required
	Secret           []byte // fleet secret; required without TLS
	TLS              *tls.Config
	Peer             string  // expected instance name of the peer; empty for any
	Handler          Handler // serves streams that the peer opens
	StreamWindow     int     // unread bytes buffered for one stream
	SessionWindow    int     // unread bytes buffered for all streams
	MaxStreams       int     // concurrent streams that the peer may open
	PingInterval     time.Duration
	KeepaliveTimeout time.Duration
	HandshakeTimeout time.Duration
	ProgressTimeout  time.Duration // 0 disables it
	OnClose          func(s *Session, err error)
}

// Option changes Options.
type Option func(*Options)

// WithName sets the instance name that the peer sees.
func WithName(name string) Option { return func(o *Options) { o.Name = name } }

// WithSecret authenticates both sides by a fleet secret of at least
// MinSecretBytes bytes.
func WithSecret(secret []byte) Option { return func(o *Options) { o.Secret = secret } }

// WithTLS authenticates both sides by TLS certificates. The name in the
// certificate must be the instance name. See TLSConfigs.
func WithTLS(cfg *tls.Config) Option { return func(o *Options) { o.TLS = cfg } }

// WithPeer fails the handshake with any instance but the named one.
func WithPeer(name string) Option { return func(o *Options) { o.Peer = name } }

// WithHandler serves streams that the peer opens. Without a handler they are
// refused.
func WithHandler(h Handler) Option { return func(o *Options) { o.Handler = h } }

// WithWindows sets the receive windows of a stream and of the session in bytes.
func WithWindows(stream, session int) Option {
	return func(o *Options) { o.StreamWindow, o.SessionWindow = stream, session }
}

// WithMaxStreams sets the number of concurrent streams that the peer may open.
func WithMaxStreams(n int) Option { return func(o *Options) { o.MaxStreams = n } }

// WithKeepalive sets the ping interval and the time without any frame after
// which the session is closed as silent.
func WithKeepalive(ping, silence time.Duration) Option {
	return func(o *Options) { o.PingInterval, o.KeepaliveTimeout = ping, silence }
}

// WithHandshakeTimeout limits the time of the handshake.
func WithHandshakeTimeout(d time.Duration) Option {
	return func(o *Options) { o.HandshakeTimeout = d }
}

// WithProgressTimeout resets a stream on which nothing was read, written or
// received for d. Zero disables it. Stream.SetProgressTimeout changes it for
// one stream.
func WithProgressTimeout(d time.Duration) Option {
	return func(o *Options) { o.ProgressTimeout = d }
}

// WithOnClose calls f once after the session has ended.
func WithOnClose(f func(s *Session, err error)) Option {
	return func(o *Options) { o.OnClose = f }
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
