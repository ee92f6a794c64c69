package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/model"
)

// Guards against a call that is associated with a request that has ended, has
// expired or was never registered.
func TestFind(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	a := table.Begin(t.Context(), "r", "id", model.Call{Deadline: now.Add(time.Second)})
	table.Begin(t.Context(), "r", "", model.Call{Deadline: now.Add(time.Second)})

	got, ok := table.LookupByID("id", now)
	assert.Assert(t, ok && got == a)
	for _, id := range []string{"", "other"} {
		_, ok = table.LookupByID(id, now)
		assert.Assert(t, !ok, "%q", id)
	}
	_, ok = table.LookupByID("id", now.Add(time.Second))
	assert.Assert(t, !ok, "after the deadline")

	b := table.Begin(t.Context(), "r", "id", model.Call{Deadline: now.Add(time.Second)})
	table.End(a)
	got, ok = table.LookupByID("id", now)
	assert.Assert(t, ok && got == b, "the end of an earlier attempt leaves the later one")
	table.End(b)
	_, ok = table.LookupByID("id", now)
	assert.Assert(t, !ok)
}

func TestChildFailed(t *testing.T) {
	a := NewTable().Begin(t.Context(), "r", "", model.Call{Attempts: 2})
	assert.Assert(t, !a.ChildFailed())
	a.RecordChildFailure()
	assert.Assert(t, a.ChildFailed())
}
