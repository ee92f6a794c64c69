// Package matrix runs a deployment under every fault that the users named,
// alone and in pairs, with requests, token loans, claims, membership and
// configuration changes going on, and checks the invariants by counting at the
// callers and the upstreams.
package matrix
