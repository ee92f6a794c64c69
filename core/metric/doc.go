// Package metric defines the metrics of a node and exports them. It is a thin
// layer over rcrowley/go-metrics with one registry per node.
package metric
