// Package fakes holds stand-ins for what surrounds the system: the platform's
// log service and the upstreams. They count what reaches them, so that promises
// can be checked without asking the nodes.
package fakes
