// Package policy measures the decision packages in virtual time.
//
// Small fakes of queueing upstreams and retrying callers drive the decision
// packages directly; there is no network and no node. Two baselines run on the
// same fakes: no control with immediate retries, and static limits with an even
// split of each customer's rate over the entries. The same seed gives the same
// figures.
package policy
