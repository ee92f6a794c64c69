// Package crash decides which requests end the upstream processes that execute
// them.
//
// A request is known by its Fingerprint: the same method, path, caller and body
// make the same request, wherever it enters the fleet. When a process of an
// upstream ends without having announced it, each request that it was executing
// becomes a suspect. A response clears a suspect, since a request that ends the
// processes that execute it never gets one.
//
// A request that merely ran beside such a request would be suspected like it. Suspects
// of two ended processes are therefore not executed beside each other. A request is
// refused once three processes have ended that executed it, one of them while it
// executed no other such suspect.
//
// All nodes of a fleet hold the same records: a record consists of sets that only
// grow, so that nodes can exchange records in any order and more than once.
package crash
