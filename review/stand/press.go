package main

import "time"

// Zones of the small deployment: that of the site acp-addis, 13 machines in 3 zones.
var pressZones = []string{"bole", "kirkos", "arada"}

// press adds the machines of the site with one target each.
func press(s *Site, work time.Duration) {
	services := [][]string{
		{"archive", "orders", "artwork", "catalogue", "archive"},
		{"archive", "orders", "artwork", "catalogue"},
		{"archive", "orders", "artwork", "catalogue"},
	}
	for z, list := range services {
		for i, service := range list {
			s.addNode(pressZones[z], z, i, service, 62, work, pressZones)
		}
	}
}
