// Package sites parses and validates site files, which declare the configuration
// of a deployment. Site files never contain customers' keys.
package sites
