// Package chains plays load on chains of services in virtual time and counts what callers get.
//
// It drives the gates, throttles and retry limits of the product without a network or node
// processes, with the admission of whole chains or with the gate that serves where feedback
// carries no service time.
package chains
