// Package chain issues the opaque tokens that associate an upstream's outbound
// calls, its child calls, with the request that it serves.
//
// A request and all calls made directly or indirectly for it form a call chain.
package chain
