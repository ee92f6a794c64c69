// Package plan computes the changes that make the published configuration match
// a site file.
package plan
