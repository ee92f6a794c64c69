package config

import "time"

const (
	// PullInterval is the interval at which a node whose configuration is too old
	// requests it from any other node.
	PullInterval = time.Second

	// MaxReadWait is the maximum long-poll timeout of a read. It is also used if
	// MaxAge is 0.
	MaxReadWait = 2 * time.Second

	// minReadWait limits a node to ten reads a second, however low MaxAge is, as
	// long as the configuration doesn't change.
	minReadWait = 100 * time.Millisecond
	// ageFraction is the maximum age of a node's configuration in normal operation,
	// as a fraction of MaxAge. The rest is left for failures.
	ageFraction = 0.8
	// waitFraction is the maximum wait of one read, as a fraction of MaxAge, so that
	// two reads with a failed one between them stay within MaxAge.
	waitFraction = 0.4
	// responseTime allows for the response time of the log, 60 times its usual 4 ms.
	responseTime = 250 * time.Millisecond
	// followTime allows for the time until a node that follows a reader has its state.
	followTime = 250 * time.Millisecond
)

// ReadPlan determines how long the reads of the configuration wait, and how old the
// configuration of a node gets while reads succeed.
type ReadPlan struct {
	MaxAge time.Duration // age from which the configuration is too old to be used; 0 for no bound
}

// ReadWait returns the long-poll timeout of a read. The configuration of a
// reader gets up to twice as old, since its age counts from the time at which
// the last completed read was sent.
func (p ReadPlan) ReadWait() time.Duration {
	if p.MaxAge == 0 {
		return MaxReadWait
	}
	maxAge := float64(p.MaxAge)
	wait := time.Duration(min(maxAge*waitFraction, (maxAge*ageFraction-float64(PullInterval))/2))
	return min(max(wait, minReadWait), MaxReadWait)
}

// NextWait returns the long-poll timeout of the next read of a node whose configuration
// has the given age. A node with an old state asks at once: the response to a long
// poll confirms the state as of the time at which it was sent.
func (p ReadPlan) NextWait(age time.Duration) time.Duration {
	wait := p.ReadWait()
	return min(max(2*wait-age, 0), wait)
}

// MaxReaderAge returns the maximum age of the configuration of a reader while
// its reads succeed. A source whose configuration is older is not relied on.
func (p ReadPlan) MaxReaderAge() time.Duration {
	return 2*p.ReadWait() + responseTime
}

// MaxNonReaderAge returns the maximum age of the configuration of a node that
// follows a reader, while the reads succeed. A node whose configuration is older reads
// the log itself.
func (p ReadPlan) MaxNonReaderAge() time.Duration {
	return p.MaxReaderAge() + followTime
}
