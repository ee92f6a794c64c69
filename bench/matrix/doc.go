// Package matrix runs a deployment under every fault of docs/design.md, 1.5,
// that a process can inject into itself, alone and in pairs, while requests,
// token loans, claims, membership and configuration change. It checks the
// invariants by counting at the callers and the upstreams. A cell of the matrix
// is one run of the deployment under one fault or one combination of faults.
package matrix
