// Package opsapi is the operations listener of a node: health, status and
// metrics as JSON.
package opsapi
