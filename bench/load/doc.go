// Package load sends requests to nodes at fixed rates and records what came
// back.
package load
