// Package burn counts finished requests in time slots and computes the burn rates
// of the error budgets of service level objectives (SLOs).
//
// A Recorder counts the requests of one node. The documents of all nodes are
// merged into a Table, which computes counts and burn rates of any window within
// the retention time. A burn rate of 1 uses up the budget exactly within the period
// of the objective. Alerts are multi-window, multi-burn-rate alerts: an alert is
// active while the burn rates of both a long and a short window are above its
// threshold, so it is raised only after a significant fraction of the budget was
// used, and ends soon after the fault.
package burn
