// Package ring provides a bounded FIFO queue for passing values between
// goroutines.
package ring
