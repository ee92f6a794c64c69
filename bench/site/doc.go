// Package site defines the deployments of the users and runs each in one
// process on loopback addresses: the nodes, fake upstreams and a fake log
// service.
package site
