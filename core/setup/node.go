package setup

import (
	"time"
)

// Node is the settings of a node process.
type Node struct {
	Instance   Instance `toml:"instance"`
	Listen     Listen   `toml:"listen"`
	Log        Log      `toml:"log"`
	Peers      Peers    `toml:"peers"`
	CallersTLS TLSFiles `toml:"callersTls"`
	Limits     Limits   `toml:"limits"`
	Upstream   Upstream `toml:"upstream"`
	Bounds     Bounds   `toml:"bounds"`
	Logging    Logging  `toml:"logging"`
	Shutdown   Shutdown `toml:"shutdown"`
}

// Instance says where the process runs.
type Instance struct {
	Name string `toml:"name"` // unique in the fleet and stable over restarts
	Zone string `toml:"zone"` // availability zone
}

// Listen holds the addresses of the four listeners as IP and port.
type Listen struct {
	Callers    string `toml:"callers"`
	Local      string `toml:"local"` // loopback only
	Peers      string `toml:"peers"`
	Operations string `toml:"operations"`
	// AdvertisePeers is the address that other nodes dial, if it differs from
	// Peers.
	AdvertisePeers string `toml:"advertisePeers"`
	// Ready and Announcements are used on a platform that asks for the state of the
	// node and announces the upstream by protocols of its own.
	Ready         string `toml:"ready"`
	Announcements string `toml:"announcements"`
}

// Upstream is the process beside the node, where a platform says what it is.
type Upstream struct {
	Service   string   `toml:"service"`
	Addr      string   `toml:"addr"`      // IP and port
	Heartbeat Duration `toml:"heartbeat"` // time between two announcements
}

// Bounds holds the figures that a platform asks of the whole fleet.
type Bounds struct {
	Zones        []string `toml:"zones"`        // availability zones of the fleet
	RevokeWithin Duration `toml:"revokeWithin"` // a key that was withdrawn longer ago runs nothing
	Strict       bool     `toml:"strict"`       // RevokeWithin holds also without contact to the log
	RetryRatio   float64  `toml:"retryRatio"`   // most retries to a service as a part of its requests
	RetrySlack   float64  `toml:"retrySlack"`   // retries to a service beyond that in a window of 10 s
}

// Log locates the platform's log service.
type Log struct {
	URL       string   `toml:"url"`
	Timeout   Duration `toml:"timeout"`
	Retention Duration `toml:"retention"` // how long the service keeps records
	// ReadsPerSecond is the number of reads a second that the service takes from all
	// nodes together; 0 if it is not known.
	ReadsPerSecond int `toml:"readsPerSecond"`
}

// Peers configures the links between nodes. Either a secret or certificates
// are needed.
type Peers struct {
	Secret string   `toml:"secret"`
	TLS    TLSFiles `toml:"tls"`
	Seeds  []string `toml:"seeds"` // peer addresses to start from
}

// TLSFiles names PEM files.
type TLSFiles struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Configured reports whether certificates are configured.
func (t TLSFiles) Configured() bool {
	return t.Cert != "" || t.Key != "" || t.CA != ""
}

// Limits bounds what callers can use.
type Limits struct {
	HeaderBytes          int      `toml:"headerBytes"`
	BodyBytes            int64    `toml:"bodyBytes"` // 0 for no limit
	ConnectionsPerCaller int      `toml:"connectionsPerCaller"`
	Descriptors          int      `toml:"descriptors"` // of the process; 0 if not known
	MemoryMB             int      `toml:"memoryMb"`    // of the process; 0 if not known
	HeaderTimeout        Duration `toml:"headerTimeout"`
	IdleTimeout          Duration `toml:"idleTimeout"`
	ProgressTimeout      Duration `toml:"progressTimeout"` // a body that stalls this long is aborted
	RevokeGrace          Duration `toml:"revokeGrace"`     // a body of a revoked key is aborted after this time
}

// Logging configures the log output of the process.
type Logging struct {
	Level string `toml:"level"`
	JSON  bool   `toml:"json"`
	// LinesPerSecond bounds the lines about single requests; 0 for no bound.
	LinesPerSecond int `toml:"linesPerSecond"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	Timeout Duration `toml:"timeout"`
	// Linger is how long the node still accepts requests after it said that it is
	// not ready.
	Linger Duration `toml:"linger"`
}

// Duration is a time.Duration that is written like "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}

// defaultLines is the default of logging.linesPerSecond. A line takes 7.5 µs of a
// processor (node/start BenchmarkRefusalLine) and 0.3 KB of the log, so this many
// are 0.15% of a core and 60 KB/s.
const defaultLines = 200

// Default returns the settings that apply where a file is silent.
func Default() Node {
	return Node{
		Log: Log{Timeout: Duration(2 * time.Second), Retention: Duration(24 * time.Hour)},
		Limits: Limits{
			HeaderBytes:          32 << 10,
			ConnectionsPerCaller: 1000,
			HeaderTimeout:        Duration(5 * time.Second),
			IdleTimeout:          Duration(2 * time.Minute),
			ProgressTimeout:      Duration(10 * time.Second),
			RevokeGrace:          Duration(5 * time.Second),
		},
		Logging:  Logging{Level: "info", LinesPerSecond: defaultLines},
		Shutdown: Shutdown{Timeout: Duration(30 * time.Second)},
	}
}
