// Package opsapi is the operations listener of a node: health, status,
// metrics and burn report as JSON.
package opsapi
