// Package picker chooses the target of a call among the targets of a service.
//
// It uses the power of two choices on in-flight counts and fresh feedback,
// prefers the zone of the node, ejects failing and silent targets and probes
// them, and never chooses a draining one.
package picker
