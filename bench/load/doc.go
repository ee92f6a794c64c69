// Package load sends requests to nodes at fixed rates and records the outcomes.
package load
