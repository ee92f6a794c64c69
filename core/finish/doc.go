// Package finish decides which work a process that shuts down can still finish.
package finish
