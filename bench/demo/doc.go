// Package demo runs a deployment in one process through the phases of a bad
// day and checks what the users were promised by counting at the callers and
// the upstreams.
package demo
