// Package sites parses and validates site files, which declare the configuration
// of a deployment. A site file that contains a customer's key is rejected.
package sites
