// Package demo runs a deployment in one process through phases with overload, a
// revoked key, a draining upstream and an outage of the log. It checks the
// guarantees given to users by counting at the callers and the upstreams.
package demo
