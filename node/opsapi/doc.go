// Package opsapi serves the operations listener of a node: health, readiness,
// status, metrics and burn rate counts as JSON, and the metrics also as text.
package opsapi
