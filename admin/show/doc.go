// Package show prints results as aligned tables or as JSON and removes customers'
// keys from the output.
package show
