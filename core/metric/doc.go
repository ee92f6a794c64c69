// Package metric names the measurements of a node and exports them. It is a
// thin layer over rcrowley/go-metrics with one registry for each node.
package metric
