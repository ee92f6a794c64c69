package cli

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/report"
)

// TestExplain guards against an explanation that sends the request, or that names other targets
// than real nodes know.
func TestExplain(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := site.Start(ctx, site.Sized(3, 2))
	assert.NilError(t, err)
	defer r.Stop()
	e := &env{t: t, log: r.Log}
	for _, n := range r.Nodes {
		e.nodes = append(e.nodes, n.Addrs().Operations)
	}
	before := recordedRequests(r)
	var docs []report.Explanation
	assert.NilError(t, json.Unmarshal([]byte(e.ok("explain /runs/1 --customer customer0000 --output json")), &docs))
	assert.Equal(t, len(docs), len(r.Nodes))
	for _, d := range docs {
		assert.Equal(t, d.Refused, "")
		assert.Equal(t, d.Service, "archive")
		assert.Equal(t, d.Admitted, 1.0)
		chance := 0.0
		for _, target := range d.Targets {
			chance += target.Chance
		}
		assert.Assert(t, len(d.Targets) > 0 && chance > 0.999 && chance < 1.001, "%+v", d)
	}
	assert.Assert(t, strings.Contains(e.ok("explain /nowhere"), "no route for GET /nowhere"))
	assert.Equal(t, recordedRequests(r), before)
}
