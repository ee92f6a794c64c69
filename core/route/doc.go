// Package route matches requests to routes and assigns their importance.
package route
