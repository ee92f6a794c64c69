// Package picker chooses the target of a call among the targets of a service.
//
// It applies the power of two choices to in-flight counts and recent feedback
// and prefers the zone of the node. It never chooses a draining target. It
// ejects targets that fail or have become unreachable, that is, excludes them
// from the choice, and probes them with single calls until they respond again.
//
// For services whose targets send their service times, it chooses by expected
// completion and lets load spill over to other zones gradually
// (docs/design/target-selection.md).
package picker
