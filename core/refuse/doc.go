// Package refuse describes the refusals of the system as problem details
// (RFC 9457) with stable types.
package refuse
