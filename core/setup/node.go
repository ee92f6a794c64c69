package setup

import (
	"time"
)

// Node holds the settings of a node process.
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

// Instance identifies the node.
type Instance struct {
	Name string `toml:"name"` // unique in the fleet, unchanged by restarts
	Zone string `toml:"zone"` // availability zone
}

// Listen holds the addresses of the listeners, each as IP and port.
type Listen struct {
	Callers    string `toml:"callers"`
	Local      string `toml:"local"` // loopback only
	Peers      string `toml:"peers"`
	Operations string `toml:"operations"`
	// AdvertisePeers is the address that other nodes dial, if it differs from
	// Peers.
	AdvertisePeers string `toml:"advertisePeers"`
	// Ready and Announcements are for platforms that have their own protocols for
	// readiness checks and for announcing the upstream.
	Ready         string `toml:"ready"`
	Announcements string `toml:"announcements"`
}

// Upstream describes the upstream beside the node on platforms whose
// announcements don't contain its service and address.
type Upstream struct {
	Service   string   `toml:"service"`
	Addr      string   `toml:"addr"`      // IP and port
	Heartbeat Duration `toml:"heartbeat"` // interval at which the upstream announces itself
}

// Bounds holds the guarantees that a platform requires of the whole fleet.
type Bounds struct {
	Zones        []string `toml:"zones"`        // availability zones of the fleet
	RevokeWithin Duration `toml:"revokeWithin"` // maximum time for which requests still run with a revoked key; 0 for no limit
	Strict       bool     `toml:"strict"`       // RevokeWithin also holds while the log is unreachable
	RetryRatio   float64  `toml:"retryRatio"`   // maximum ratio of retries to requests of a service; 0 for the default
	RetrySlack   float64  `toml:"retrySlack"`   // retries to a service allowed on top of that in a window of 10 s
	// ColdOver and ColdSlack bound the calls that a cold upstream may receive in any second: its rate
	// times ColdOver plus ColdSlack.
	ColdOver  float64 `toml:"coldOver"`
	ColdSlack float64 `toml:"coldSlack"`
	// EvacuateWithin is the maximum time from the operator's request to evacuate a zone until no more
	// calls reach its upstreams; 0 for no limit.
	EvacuateWithin Duration `toml:"evacuateWithin"`
}

// Log configures access to the platform's log service.
type Log struct {
	URL       string   `toml:"url"`
	Timeout   Duration `toml:"timeout"`
	Retention Duration `toml:"retention"` // how long the service keeps records
	// ReadsPerSecond has no effect: two nodes of a zone read the log, whatever it can
	// serve. Settings files of earlier versions may contain it.
	ReadsPerSecond int `toml:"readsPerSecond"`
}

// Peers configures the links between nodes. Either Secret or TLS is required.
type Peers struct {
	Secret string   `toml:"secret"`
	TLS    TLSFiles `toml:"tls"`
	Seeds  []string `toml:"seeds"` // addresses of the nodes that are contacted first
}

// TLSFiles holds the paths of PEM files.
type TLSFiles struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Configured reports whether any file is set.
func (t TLSFiles) Configured() bool {
	return t.Cert != "" || t.Key != "" || t.CA != ""
}

// Limits bounds the resources that callers can use.
type Limits struct {
	HeaderBytes          int      `toml:"headerBytes"`
	BodyBytes            int64    `toml:"bodyBytes"` // 0 for no limit
	ConnectionsPerCaller int      `toml:"connectionsPerCaller"`
	Descriptors          int      `toml:"descriptors"` // of the process; 0 if unknown
	MemoryMB             int      `toml:"memoryMb"`    // of the process; 0 if unknown
	HeaderTimeout        Duration `toml:"headerTimeout"`
	IdleTimeout          Duration `toml:"idleTimeout"`
	ProgressTimeout      Duration `toml:"progressTimeout"` // a body without progress, or a response that isn't read, for this long is aborted
	RevokeGrace          Duration `toml:"revokeGrace"`     // a body is aborted this long after its key was revoked
	LearnCapacity        string   `toml:"learnCapacity"`   // LearnAuto or LearnOff
}

// Values of limits.learnCapacity.
const (
	LearnAuto = "auto" // for upstreams that report a work time and for services whose configuration asks for it
	LearnOff  = "off"
)

// Logging configures the log output of the process.
type Logging struct {
	Level string `toml:"level"`
	JSON  bool   `toml:"json"`
	// LinesPerSecond limits the rate of log lines about single requests; 0 for no
	// limit.
	LinesPerSecond int `toml:"linesPerSecond"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	Timeout Duration `toml:"timeout"`
	// Linger is how long the node still accepts requests after it first reports
	// that it is not ready.
	Linger Duration `toml:"linger"`
}

// Duration is a time.Duration encoded as text such as "250ms".
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

// defaultLinesPerSecond is the default of logging.linesPerSecond. One line
// takes 7.5 µs of CPU time (BenchmarkRefusalLine in node/start) and 0.3 KB of
// output, so the default allows 0.15% of a core and 60 KB/s.
const defaultLinesPerSecond = 200

// Default returns the values of settings that a file doesn't set.
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
			LearnCapacity:        LearnAuto,
		},
		Logging:  Logging{Level: "info", LinesPerSecond: defaultLinesPerSecond},
		Shutdown: Shutdown{Timeout: Duration(30 * time.Second)},
	}
}
