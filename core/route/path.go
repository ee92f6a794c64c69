package route

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// literalSegments are the escaped forms of the path segments that ServeMux would resolve
// instead of matching them. An empty segment has none; its replacement matches wildcards and
// no literal of a pattern.
var literalSegments = map[string]string{"": "%00", ".": "%2E", "..": "%2E%2E"}

// withLiteralPath returns a request with a path that ServeMux matches segment by segment. It
// returns r unless the path has empty or dot segments.
func withLiteralPath(r *http.Request) *http.Request {
	escaped := r.URL.EscapedPath()
	if escaped != "" && !strings.Contains(escaped, "//") && !strings.Contains(escaped, "/.") {
		return r
	}
	if escaped == "" { // of an absolute URI
		escaped = "/"
	}
	segments := strings.Split(escaped, "/")
	for i, s := range segments[1:] {
		isLast := i == len(segments)-2
		if l, ok := literalSegments[s]; ok && (s != "" || !isLast) {
			segments[i+1] = l
		}
	}
	u, err := url.Parse(strings.Join(segments, "/"))
	if err != nil {
		return r // not reached: the path was parsed before
	}
	c := *r
	c.URL = u
	return &c
}

// hasParentSegment reports whether a path has a segment "..".
func hasParentSegment(path string) bool {
	return strings.Contains(path, "..") && slices.Contains(strings.Split(path, "/"), "..")
}
