// Package chart draws the burn report as one HTML page that loads nothing.
package chart
