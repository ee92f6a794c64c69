// Package audit checks the guarantees given to users. It counts requests at the
// callers and the upstreams and does not rely on data from the nodes.
package audit
