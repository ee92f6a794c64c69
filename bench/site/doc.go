// Package site describes the deployments of the users and starts them in one
// process on loopback addresses: nodes, upstreams and the log service.
package site
