// Package setup reads the TOML settings of a node. It rejects unknown keys and
// bad values with the file, line and key.
package setup
