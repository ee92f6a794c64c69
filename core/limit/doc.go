// Package limit adapts the number of concurrent calls that a node sends to its
// upstream, and the number of calls in progress at the node itself.
//
// Limit is the concurrency limit of one target. It follows two signals that a
// target can't misreport without harming itself: the latency of its responses
// in relation to a baseline, and the responses by which it sheds load. Two
// hints only change the speed of growth: the slots that the target announces,
// which is the number of requests that it can process at the same time, and the
// load that its endpoint reports. SchedulerLimit follows the scheduling delay
// of the node's own processor.
package limit
