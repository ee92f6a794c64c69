// Package chart renders the burn report as a self-contained HTML page with inline
// SVG plots, which loads no external resources.
package chart
