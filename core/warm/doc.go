// Package warm bounds the calls that a cold upstream receives. An upstream is cold for a
// stated time after its start, and may become cold again at any moment. It then serves
// only a fraction of its usual rate and crashes well above that.
//
// The load condition is a burst of calls from many nodes at once to an upstream that has
// just started, or that has become cold while it serves its usual rate. The node beside
// the upstream sees every call and admits a fixed number in any sliding second. Calls
// beyond it are not dispatched.
package warm
