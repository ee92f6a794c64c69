// Package setup reads and validates the TOML settings of a node. Errors for
// unknown keys and invalid values give the file, the line and the key.
package setup
