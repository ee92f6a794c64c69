// Package model holds the plain data types that the other packages share: the
// configuration objects that operators publish and the context that travels
// with a call through its chain.
package model
