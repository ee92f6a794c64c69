// Package burn counts finished requests in time slots and computes from the
// counts how fast services use up the error budgets of their objectives.
//
// A Recorder counts at one node. Its documents are merged into a Table, which
// gives the counts and burn rates of any window within the kept time. A burn
// rate of 1 uses up the budget exactly within the period of the objective. The
// method is that of multi-window, multi-burn-rate alerts: an alert holds while
// both a long and a short window burn faster than its threshold, so it is
// raised for losses that matter and ends soon after them.
package burn
