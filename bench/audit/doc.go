// Package audit checks the promises to the users by counting at the callers and
// the upstreams, without asking the nodes.
package audit
