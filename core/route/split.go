package route

import "dogwoodsill.org/core/model"

// Splitter splits the requests of routes among services by weight. It uses
// smooth weighted round robin, which keeps the number of requests of each
// service close to its share at every moment, so that shares hold over short
// windows too. With two services the difference is less than one request. It is
// not safe for concurrent use.
type Splitter struct {
	credit map[string]map[string]float64 // by route and service: weight accumulated, minus that of the requests assigned
}

// NewSplitter returns a splitter that has assigned no requests.
func NewSplitter() *Splitter {
	return &Splitter{credit: map[string]map[string]float64{}}
}

// Pick returns the service of the next request of a route, or the empty string
// if no part has a weight above 0. Each part consists of a service and its
// weight.
func (s *Splitter) Pick(route string, parts []model.Part) string {
	c := s.credit[route]
	if c == nil {
		c = map[string]float64{}
		s.credit[route] = c
	}
	total, best := 0.0, -1
	for i, p := range parts {
		if !(p.Weight > 0) {
			continue
		}
		total += p.Weight
		c[p.Service] += p.Weight
		if best < 0 || c[p.Service] > c[parts[best].Service] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	c[parts[best].Service] -= total
	return parts[best].Service
}
