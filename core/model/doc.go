// Package model defines the data types that other packages share: the
// configuration objects that operators publish, and the context of a call, which
// is passed along its call chain.
package model
