// Package sites reads site files, the declarative form of a deployment's
// configuration. Keys are never part of a site file.
package sites
