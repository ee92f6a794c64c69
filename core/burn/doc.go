// Package burn computes how fast services use up the error budget of their
// service level objectives.
//
// Counters of a node count calls by service, importance and customer over
// several windows. Reports of all nodes add up to the report of the fleet, and
// Evaluate compares a report with the objectives of model.SLO.
//
// The burn rate is the fraction of bad calls divided by the fraction that the
// objective allows: at rate 1 the budget lasts exactly for its period. Alerts
// use two windows each, a long one so that a short spike raises none and a
// short one so that the alert ends soon after its cause.
//
// Processes persist nothing, so a window covers at most the time since a node
// started.
package burn
