// Package opsapi serves the operations listener of a node: health, readiness,
// status, metrics, burn rate counts and explanations of single requests as JSON, and the metrics
// also as text.
package opsapi
