// Package admit decides which requests a target runs when it can't run all of
// them, and lets the nodes that send requests refuse the excess early.
//
// A target is an instance of a service: an upstream and the node in front of
// it. An entry is the node that receives the request of a customer. A target
// that serves a request may call other services, and these calls form the call
// chain below the request.
//
// Every request has a rank, which gives its place in the order of admission: a
// request of lower rank is admitted first. All calls of a chain have the rank
// of the request at its head, so that overloaded targets at every depth refuse
// the same requests. A target runs requests within its concurrency limit and
// keeps a short queue ordered by rank (Gate). It returns its admission level,
// the highest rank that it should be sent, with each response (Feedback). The
// nodes that send requests to it keep these levels for a second (Throttle) and
// refuse requests of a higher rank before any work is done for them.
//
// Nothing in this package is safe for concurrent use.
package admit
