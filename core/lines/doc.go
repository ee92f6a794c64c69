// Package lines bounds the cost of logging: a Limiter bounds the rate of lines,
// and a Writer bounds the memory that buffers lines for a slow output. Logging
// never blocks; dropped lines are counted.
package lines
