package setup

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MinSecretBytes is the minimum length of the secret that all nodes of a fleet share.
const MinSecretBytes = 16

// Error reports an invalid or missing setting.
type Error struct {
	File   string
	Line   int    // 0 if unknown, such as for a key missing from the file
	Key    string // empty if the file is malformed
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: key %s: %s", e.File, e.Key, e.Detail)
	}
	return fmt.Sprintf("%s:%d: key %s: %s", e.File, e.Line, e.Key, e.Detail)
}

// Parse decodes and validates the settings of a node. The file name appears only
// in errors, which are of type *Error.
func Parse(file string, data []byte) (Node, error) {
	cfg := Default()
	if err := Decode(file, data, &cfg); err != nil {
		return Node{}, err
	}
	return cfg, cfg.Check(file, data)
}

// Decode decodes TOML strictly into v, a pointer to a struct. It returns an
// *Error for a malformed file, an unknown key or a value of a wrong type.
func Decode(file string, data []byte, v any) error {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return &Error{File: file, Line: line, Key: strings.Join(first.Key(), "."), Detail: "unknown key"}
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return &Error{File: file, Line: line, Key: strings.Join(bad.Key(), "."), Detail: bad.Error()}
	}
	if err != nil {
		return &Error{File: file, Detail: err.Error()}
	}
	return nil
}

// Check validates the settings. The content of the file is used to find the
// line of an invalid key.
func (n Node) Check(file string, data []byte) error {
	for _, c := range n.checks() {
		if c.detail != "" {
			return &Error{File: file, Line: KeyLines(data)[c.key], Key: c.key, Detail: c.detail}
		}
	}
	return nil
}

type check struct {
	key, detail string
}

func (n Node) checks() []check {
	return []check{
		{"instance.name", required(n.Instance.Name)},
		{"instance.zone", required(n.Instance.Zone)},
		{"listen.callers", address(n.Listen.Callers)},
		{"listen.local", loopback(n.Listen.Local)},
		{"listen.peers", address(n.Listen.Peers)},
		{"listen.operations", address(n.Listen.Operations)},
		{"listen.advertisePeers", optional(n.Listen.AdvertisePeers, address)},
		{"listen.ready", optional(n.Listen.Ready, address)},
		{"listen.announcements", optional(n.Listen.Announcements, address)},
		{"upstream.addr", optional(n.Upstream.Addr, address)},
		{"upstream.heartbeat", notNegative(int64(n.Upstream.Heartbeat))},
		{"bounds.revokeWithin", notNegative(int64(n.Bounds.RevokeWithin))},
		{"bounds.retryRatio", notNegative(int64(n.Bounds.RetryRatio * 100))},
		{"bounds.retrySlack", notNegative(int64(n.Bounds.RetrySlack))},
		{"bounds.coldOver", notNegative(int64(n.Bounds.ColdOver * 100))},
		{"bounds.coldSlack", notNegative(int64(n.Bounds.ColdSlack))},
		{"bounds.evacuateWithin", notNegative(int64(n.Bounds.EvacuateWithin))},
		{"shutdown.linger", notNegative(int64(n.Shutdown.Linger))},
		{"log.url", httpURL(n.Log.URL)},
		{"log.timeout", positive(int64(n.Log.Timeout))},
		{"log.retention", positive(int64(n.Log.Retention))},
		{"log.readsPerSecond", notNegative(int64(n.Log.ReadsPerSecond))},
		{"peers.secret", n.peerAuth()},
		{"peers.seeds", addresses(n.Peers.Seeds)},
		{"callersTls", callersTLS(n.CallersTLS)},
		{"limits.headerBytes", positive(int64(n.Limits.HeaderBytes))},
		{"limits.bodyBytes", notNegative(n.Limits.BodyBytes)},
		{"limits.connectionsPerCaller", positive(int64(n.Limits.ConnectionsPerCaller))},
		{"limits.descriptors", notNegative(int64(n.Limits.Descriptors))},
		{"limits.memoryMb", notNegative(int64(n.Limits.MemoryMB))},
		{"limits.headerTimeout", positive(int64(n.Limits.HeaderTimeout))},
		{"limits.idleTimeout", positive(int64(n.Limits.IdleTimeout))},
		{"limits.progressTimeout", positive(int64(n.Limits.ProgressTimeout))},
		{"limits.revokeGrace", notNegative(int64(n.Limits.RevokeGrace))},
		{"limits.learnCapacity", learnCapacity(n.Limits.LearnCapacity)},
		{"logging.level", level(n.Logging.Level)},
		{"logging.linesPerSecond", notNegative(int64(n.Logging.LinesPerSecond))},
		{"shutdown.timeout", positive(int64(n.Shutdown.Timeout))},
	}
}

func (n Node) peerAuth() string {
	if n.Peers.TLS.Configured() {
		t := n.Peers.TLS
		if t.CA == "" || t.Cert == "" || t.Key == "" {
			return "peers.tls needs ca, cert and key"
		}
		return ""
	}
	if len(n.Peers.Secret) < MinSecretBytes {
		return fmt.Sprintf("must have at least %d bytes unless peers.tls is set", MinSecretBytes)
	}
	return ""
}

// callersTLS checks that cert and key are set together, and that ca is not set,
// because callers don't authenticate with certificates.
func callersTLS(t TLSFiles) string {
	switch {
	case t.CA != "":
		return "ca is not used for callers"
	case (t.Cert == "") != (t.Key == ""):
		return "needs both cert and key"
	default:
		return ""
	}
}

// KeyLines returns the line number of each dotted key of a TOML document.
func KeyLines(data []byte) map[string]int {
	lines := map[string]int{}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		key, line := dottedKey(&p, e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key
			lines[key] = line
		case unstable.KeyValue:
			if table != "" {
				key = table + "." + key
			}
			lines[key] = line
		}
	}
	return lines
}

func dottedKey(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
		line = p.Shape(it.Node().Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}

func required(s string) string {
	if s == "" {
		return "must not be empty"
	}
	return ""
}

func positive(n int64) string {
	if n <= 0 {
		return "must be above 0"
	}
	return ""
}

func notNegative(n int64) string {
	if n < 0 {
		return "must not be negative"
	}
	return ""
}

func optional(s string, f func(string) string) string {
	if s == "" {
		return ""
	}
	return f(s)
}

func address(s string) string {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Sprintf("%q is not an IP address with a port", s)
	}
	return ""
}

func addresses(list []string) string {
	for _, s := range list {
		if detail := address(s); detail != "" {
			return detail
		}
	}
	return ""
}

func loopback(s string) string {
	if detail := address(s); detail != "" {
		return detail
	}
	host, _, _ := net.SplitHostPort(s)
	if !netip.MustParseAddr(host).IsLoopback() {
		return fmt.Sprintf("%q is not a loopback address", s)
	}
	return ""
}

func httpURL(s string) string {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Sprintf("%q is not an http or https URL", s)
	}
	return ""
}

func learnCapacity(s string) string {
	if s != LearnAuto && s != LearnOff {
		return fmt.Sprintf("%q is not one of %s, %s", s, LearnAuto, LearnOff)
	}
	return ""
}

func level(s string) string {
	switch s {
	case "trace", "debug", "info", "warn", "error":
		return ""
	default:
		return fmt.Sprintf("%q is not one of trace, debug, info, warn, error", s)
	}
}
