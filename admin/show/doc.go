// Package show prints results as aligned tables or as JSON.
package show
