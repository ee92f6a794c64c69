// Package lines bounds the cost of logging: a Limiter bounds the rate of lines,
// and a Writer bounds the memory that buffers output for a slow reader. Logging
// never blocks; dropped lines are counted.
package lines
