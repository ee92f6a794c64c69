package metric

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Metric names. A name with a trailing dot is a prefix. Metrics that aren't marked
// as a gauge or timer are counters.
const (
	Admitted          = "admitted"          // requests admitted by their entry node
	Refused           = "refused."          // refusals, followed by the reason
	RefusedInsideRate = "refusedInsideRate" // requests refused and not run although inside the customer's rate
	Attempts          = "attempts"          // attempts sent to targets
	LogLinesDropped   = "logLinesLeftOut"   // gauge: lines dropped since the start
	Retries           = "retries"           // attempts after the first of a call
	Resumed           = "resumed"           // attempts resumed on a new link
	Aborted           = "aborted."          // requests that ended without a complete answer, followed by the cause
	Served            = "served"            // calls dispatched to the local upstream
	UpstreamErrors    = "upstreamErrors"    // failed exchanges with the local upstream
	UpstreamsEnded    = "upstreamsEnded"    // processes of the local upstream that ended without announcing it
	CrashingRequests  = "crashingRequests"  // gauge: requests that are refused because upstream processes ended while they executed them
	TokensBorrowed    = "tokensBorrowed"    // millitokens received as loans
	TokensExpired     = "tokensExpired"     // millitokens of loans that expired unused
	TokensLent        = "tokensLent"        // millitokens lent by the holders of shares at this node
	Claims            = "claims"            // idempotency keys claimed
	ClaimsUnknown     = "claimsUnknown"     // repeated requests refused because the outcome of the first is unknown
	ConfigOffset      = "configOffset"      // gauge: offset after the last applied configuration record
	ConfigAge         = "configAgeMs"       // gauge: time since the configuration was last confirmed as the newest
	Epoch             = "epoch"             // gauge: epoch of the member list of the node's zone
	GossipPackets     = "gossipPackets"     // gossip packets sent
	GossipBytes       = "gossipBytes"       // gossip bytes sent
	RequestTime       = "requestTime"       // timer: from the arrival of a request to the end of its response
	ConcurrencyLimit  = "concurrencyLimit"  // gauge: concurrency limit of the local upstream
	InFlight          = "inFlight"          // gauge: calls running at the local upstream
	UpstreamRateLimit = "upstreamRateLimit" // gauge: calls per second that the local upstream accepts; 0 without a limit
	LearnedLimit      = "learnedLimit"      // gauge: learned concurrency limit of the local upstream; 0 if it is not in use
	ServiceTime       = "serviceUs"         // gauge: learned microseconds of a typical call at the local upstream; 0 if unknown
	WorkTime          = "workTimePercent"   // gauge: work time that the local upstream reports, 100 as usual; 0 if unknown
	Waiting           = "waiting"           // gauge: calls queued for the local upstream
	ColdRefused       = "coldRefused"       // calls returned because the local upstream is cold
	Cold              = "cold"              // gauge: 1 while calls to the local upstream are limited because it is cold
	CallerBytes       = "callerBytes"       // gauge: bytes of memory that callers and links occupy
	CallerConnections = "callerConnections" // gauge: open connections that count towards callerBytes
	MemoryEvicted     = "memoryEvicted"     // gauge: connections closed since the start to free memory
	MemoryRefused     = "memoryRefused"     // gauge: connections, heads and bodies refused since the start for lack of memory
	EvacuatedRefused  = "evacuatedRefused"  // calls returned because the zone of the node is evacuated, or may be after a suspension
	EvacuatedZones    = "evacuatedZones"    // gauge: zones that are evacuated
	Spilled           = "spilled."          // gauge, followed by service and zone: thousandths of the recent calls to the service that went to that other zone
	Processor         = "processorMs"       // gauge: processor time of the process since its start
)

// Set holds the metrics of one node. It is safe for concurrent use.
type Set struct {
	reg gometrics.Registry
}

// New returns an empty set.
func New() *Set {
	return &Set{reg: gometrics.NewRegistry()}
}

// Add adds n to a counter.
func (s *Set) Add(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, s.reg).Inc(n)
}

// SetGauge sets a gauge.
func (s *Set) SetGauge(name string, v int64) {
	gometrics.GetOrRegisterGauge(name, s.reg).Update(v)
}

// Observe records a duration in a timer.
func (s *Set) Observe(name string, d time.Duration) {
	gometrics.GetOrRegisterTimer(name, s.reg).Update(d)
}

// Value returns the value of a counter or gauge, or 0 if it doesn't exist.
func (s *Set) Value(name string) int64 {
	switch m := s.reg.Get(name).(type) {
	case gometrics.Counter:
		return m.Count()
	case gometrics.Gauge:
		return m.Value()
	default:
		return 0
	}
}

// Sum returns the sum of the counters whose names begin with a prefix.
func (s *Set) Sum(prefix string) int64 {
	var n int64
	s.reg.Each(func(name string, m any) {
		if c, ok := m.(gometrics.Counter); ok && strings.HasPrefix(name, prefix) {
			n += c.Count()
		}
	})
	return n
}

// Export returns all metrics by name, for encoding as JSON.
func (s *Set) Export() map[string]map[string]any {
	return s.reg.GetAll()
}

// WriteText writes all metrics as lines of name and value, sorted by name. A
// timer has one line for its count and one for each quantile in milliseconds.
func (s *Set) WriteText(w io.Writer) error {
	var lines []string
	s.reg.Each(func(name string, m any) {
		lines = append(lines, formatMetric(name, m)...)
	})
	slices.Sort(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}

func formatMetric(name string, m any) []string {
	switch m := m.(type) {
	case gometrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case gometrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case gometrics.Timer:
		t := m.Snapshot()
		lines := []string{fmt.Sprintf("%s.count %d", name, t.Count())}
		for _, q := range []float64{0.5, 0.99} {
			lines = append(lines, fmt.Sprintf("%s.p%g %.3f", name, q*100, t.Percentile(q)/float64(time.Millisecond)))
		}
		return lines
	default:
		return nil
	}
}
