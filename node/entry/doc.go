// Package entry serves the requests of callers. It authenticates a request,
// finds its route, admits it, sends it to a target and returns the response.
//
// The entry is the node that received the request from the caller. A target is a
// node that runs requests at its local upstream. A request that the node doesn't
// run gets a refusal: an error response with a reason and an execution state.
package entry
