// Package boot reads CLOCK_BOOTTIME, the clock that keeps running while the
// machine is suspended. It measures ages that must include the suspension, such as
// that of the configuration, so that stale data isn't considered fresh.
package boot
