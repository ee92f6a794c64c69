// Package relay sends calls from one node to another.
//
// On the calling side, a [Caller] picks a target of the called service, makes
// one or more attempts and returns the response of the upstream or a refusal. A
// target is an upstream together with the node at which it is announced. An
// attempt is one try to run the call at one target. A refusal says why the call
// has no response and whether it may have been executed.
//
// At the target's node, a [Target] admits attempts, dispatches them to the local
// upstream and sends its response back.
package relay
