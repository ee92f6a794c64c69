// Package fakes provides fake implementations of the systems around the nodes: the
// platform's log service, the upstreams and the network between nodes. They count
// the requests and bytes that reach them, so that tests can check guarantees
// without relying on what the nodes report.
package fakes
