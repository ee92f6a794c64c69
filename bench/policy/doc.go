// Package policy measures the decision packages by discrete-event simulation in
// virtual time.
//
// Fakes of queueing upstreams and retrying callers drive the decision packages
// directly, without a network or node processes. An entry is the node that
// receives a caller's request; a target is an instance that a call is sent to.
// Two baselines run on the same fakes: no control with immediate retries, and
// static limits with each customer's rate split equally over the entries. The
// same seed gives the same results.
package policy
