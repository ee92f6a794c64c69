// Package route matches requests to routes, splits the requests of a route
// among services, and assigns requests their importance.
//
// A route maps the requests that match a pattern to a service, or to several
// services by weight.
package route
