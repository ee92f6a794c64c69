// Package chain issues the opaque tokens by which an upstream's outbound calls
// are tied to the request that it serves.
package chain
