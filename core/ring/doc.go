// Package ring provides a bounded queue that joins two goroutines.
package ring
