// Package plan computes the changes that turn the configuration into that of a
// site file.
package plan
