package route

import (
	"net/http"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/model"
)

// newTable returns a table of routes that are named by their patterns.
func newTable(t *testing.T, patterns ...string) *Table {
	t.Helper()
	v := config.View{Routes: map[string]model.Route{}}
	for _, p := range patterns {
		v.Routes[p] = model.Route{Pattern: p, Service: "orders"}
	}
	table := NewTable(&v)
	assert.Equal(t, len(table.Conflicts), 0)
	return table
}

// TestPathIsMatchedAsSent guards against a request that has no route because its path contains
// empty or dot segments, and against one that leaves its route by them.
func TestPathIsMatchedAsSent(t *testing.T) {
	table := newTable(t, "/", "/open/", "/open/list/", "GET /runs/{id}")
	for _, test := range []struct {
		target, want string
		leaves       bool
	}{
		{"/open/a", "/open/", false},
		{"/open//list/a", "/open/", false},
		{"/open/./list/a", "/open/", false},
		{"//open/a", "/", false},
		{"/open/.hidden", "/open/", false},
		{"/open/a..b/c", "/open/", false},
		{"/open/list/..", "/open/list/", true},
		{"/open/a/../b", "/open/", false},
		{"/open/a/../list/b", "/open/", true},
		{"/open/../admin", "/open/", true},
		{"/open/%2E%2e/admin", "/open/", true},
		{"/open/..%2fadmin", "/open/", true},
		{"/open/a/../../open/b", "/open/", false},
		{"/runs/7", "GET /runs/{id}", false},
		{"/runs/..", "GET /runs/{id}", true},
		{"/a//", "/", false},
		{"//", "/", false},
	} {
		t.Run(test.target, func(t *testing.T) {
			u, err := url.ParseRequestURI(test.target)
			assert.NilError(t, err)
			r := &http.Request{Method: http.MethodGet, Host: "press.example", URL: u}
			m, ok := table.Lookup(r, false)
			assert.Assert(t, ok)
			assert.Equal(t, m.Name, test.want)
			assert.Equal(t, table.LeavesRoute(r, m), test.leaves)
		})
	}
}
