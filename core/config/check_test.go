package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"dogwoodsill.org/core/model"
	"gotest.tools/v3/assert"
)

// Guards against accepting an invalid object, and against an error that doesn't
// name the invalid field.
func TestCheck(t *testing.T) {
	digest := strings.Repeat("0a", 32)
	tests := []struct {
		kind model.Kind
		body string
		want string // substring of the error; empty if the body is valid
	}{
		{model.KindCustomer, `{"rate":1,"burst":1}`, ""},
		{model.KindCustomer, ``, "EOF"},
		{model.KindCustomer, `null`, "null"},
		{model.KindCustomer, `[]`, "cannot unmarshal"},
		{model.KindCustomer, `{"rate":1,"burst":1}{}`, "more than one"},
		{model.KindCustomer, `{"rate":1,"burst":1,"brust":2}`, "unknown field"},
		{model.KindCustomer, `{"rate":0,"burst":1}`, "rate"},
		{model.KindCustomer, `{"rate":-1,"burst":1}`, "rate"},
		{model.KindCustomer, `{"rate":1e999,"burst":1}`, "rate"},
		{model.KindCustomer, `{"rate":1,"burst":0}`, "burst"},
		{model.KindCustomer, `{"rate":1,"burst":1.5}`, "burst"},
		{model.KindKey, `{"customer":"a","digest":"` + digest + `"}`, ""},
		{model.KindKey, `{"customer":"","digest":"` + digest + `"}`, "customer"},
		{model.KindKey, `{"customer":"a","digest":"0a"}`, "digest"},
		{model.KindKey, `{"customer":"a","digest":"` + strings.Repeat("zz", 32) + `"}`, "digest"},
		{model.KindKey, `{"customer":"a","digest":"` + strings.ToUpper(digest) + `"}`, "digest"},
		{model.KindService, `{"slos":[{"objective":0.99}]}`, ""},
		{model.KindService, `{"slos":[{"objective":1}]}`, "objective"},
		{model.KindService, `{"slos":[{"objective":0}]}`, "objective"},
		{model.KindService, `{"slos":[{"objective":0.9,"latencyMs":-1}]}`, "latencyMs"},
		{model.KindService, `{"slos":[{"objective":0.9,"importance":8}]}`, "importance"},
		{model.KindRoute, `{"pattern":"GET /a/{id}","service":"s"}`, ""},
		{model.KindRoute, `{"pattern":"/a","service":""}`, "service"},
		{model.KindRoute, `{"pattern":"","service":"s"}`, "pattern"},
		{model.KindRoute, `{"pattern":"/a/{","service":"s"}`, "pattern"},
		{model.KindRoute, `{"pattern":"/a","service":"s","timeoutMs":-1}`, "times"},
		{model.KindRoute, `{"pattern":"/a","service":"s","maxConfigAgeMs":-1}`, "times"},
		{model.KindRoute, `{"pattern":"/a","service":"s","attempts":-1}`, "attempts"},
		{model.KindRoute, `{"pattern":"/a","service":"s","openRate":-1}`, "openRate"},
		{model.KindRoute, `{"pattern":"/a","service":"s","open":true}`, "open route"},
		{model.KindRoute, `{"pattern":"/a","service":"s","open":true,"openRate":1}`, "open route"},
		{model.KindImportance, `{"level":7,"routes":"tier in (gold)"}`, ""},
		{model.KindImportance, `{"level":8}`, "level"},
		{model.KindImportance, `{"level":-1}`, "level"},
		{model.KindImportance, `{"level":1,"customers":"a in b"}`, "parse"},
		{model.KindFleet, `{"zones":[{"name":"a","weight":0.5},{"name":"b","weight":0.5}]}`, ""},
		{model.KindFleet, `{"zones":[{"name":"a","weight":0.5},{"name":"b","weight":0.6}]}`, "more than 1"},
		{model.KindFleet, `{"zones":[{"name":"a","weight":-0.5}]}`, "negative"},
		{model.KindFleet, `{"zones":[{"name":"a"},{"name":"a"}]}`, "unique"},
		{model.KindFleet, `{"zones":[{"name":""}]}`, "empty"},
		{"zone", `{}`, "unknown kind"},
		{model.KindService, `{"labels":{"a":"` + strings.Repeat("x", MaxBodyBytes) + `"}}`, "larger"},
	}
	for _, test := range tests {
		err := Check(test.kind, FleetName, []byte(test.body))
		if test.want == "" {
			assert.NilError(t, err)
			continue
		}
		var check *CheckError
		assert.Assert(t, errors.As(err, &check), "%.80s", test.body)
		assert.ErrorContains(t, err, test.want)
	}
	for _, name := range []string{"", strings.Repeat("x", MaxNameBytes+1), "\xff"} {
		assert.ErrorContains(t, Check(model.KindService, name, []byte(`{}`)), "name")
	}
	assert.ErrorContains(t, Check(model.KindFleet, "other", []byte(`{}`)), "named fleet")
}

// Guards invariants I6 and I12: zone weights whose sum exceeds 1 while one zone
// uses its old weight and another its new one are rejected, and so are deletes
// of objects that don't exist.
func TestChangeAgainstCurrentObject(t *testing.T) {
	s := NewState()
	apply := func(kind model.Kind, body string, del bool) Outcome {
		id := ObjectID{Kind: kind, Name: FleetName}
		c := Change{ID: fmt.Sprint(s.Next), Kind: kind, Name: FleetName, Base: s.Objects[id].Revision, Delete: del}
		if !del {
			c.Body = []byte(body)
		}
		return *s.Apply(s.Next, encode(Record{Change: &c}))
	}
	weights := func(a, b float64) string {
		return fmt.Sprintf(`{"zones":[{"name":"a","weight":%g},{"name":"b","weight":%g}]}`, a, b)
	}
	tests := []struct {
		kind model.Kind
		body string
		del  bool
		want string
	}{
		{model.KindFleet, "", true, "no such object"},
		{"zone", "", true, "no such object"},
		{model.KindFleet, weights(1, 0), false, ""},
		{model.KindFleet, weights(0.5, 0.5), false, "lower the weights"},
		{model.KindFleet, weights(0.5, 0), false, ""},
		{model.KindFleet, weights(0.5, 0.5), false, ""},
		{model.KindFleet, `{"zones":[{"name":"c","weight":1}]}`, false, "lower the weights"},
		{model.KindFleet, "", true, "can't be deleted"},
		{model.KindService, `{}`, false, ""},
		{model.KindService, "", true, ""},
	}
	for i, test := range tests {
		out := apply(test.kind, test.body, test.del)
		assert.Equal(t, out.Accepted, test.want == "", "%d: %s", i, out.Reason)
		assert.Assert(t, strings.Contains(out.Reason, test.want), "%d: %s", i, out.Reason)
	}
}

// Guards invariant I5: a second object with the digest of a revoked key must not
// make the key valid again, and all nodes must choose the same object.
func TestSharedDigest(t *testing.T) {
	s := NewState()
	for i, revoked := range []bool{false, true, false, true} {
		k := model.Key{Customer: "a", Digest: strings.Repeat("0a", 32), Revoked: revoked}
		c := Change{ID: fmt.Sprint(i), Kind: model.KindKey, Name: fmt.Sprintf("k%d", i), Body: encode(k)}
		assert.Assert(t, s.Apply(s.Next, encode(Record{Change: &c})).Accepted)
	}
	for range 20 {
		assert.Equal(t, s.View().Digests[strings.Repeat("0a", 32)], "k1")
	}
}

// Guards against a stale body in a view after a change, a delete or a snapshot.
func TestViewFollowsState(t *testing.T) {
	s := NewState()
	rate := func() float64 { return s.View().Customers["press"].Rate }
	step := func(base uint64, rate float64, del bool) {
		c := customerChange(fmt.Sprint(s.Next), "press", base, rate)
		c.Delete = del
		assert.Assert(t, s.Apply(s.Next, encode(Record{Change: &c})).Accepted)
	}
	step(0, 1, false)
	assert.Equal(t, rate(), 1.0)
	step(1, 2, false)
	assert.Equal(t, rate(), 2.0)
	other := NewState()
	assert.Assert(t, other.Restore(s.Snapshot()))
	step(2, 0, true)
	assert.Equal(t, len(s.View().Customers), 0)
	step(0, 4, false)
	assert.Equal(t, rate(), 4.0)
	assert.Equal(t, other.View().Customers["press"].Rate, 2.0)
	assert.Assert(t, other.Restore(s.Snapshot()))
	assert.Equal(t, other.View().Customers["press"].Rate, 4.0)
}

// Guards against a record that makes Apply fail, or that leads to different
// states on a node that applied it and on one that restored a later snapshot.
func FuzzApply(f *testing.F) {
	c := customerChange("a", "press", 0, 1)
	f.Add(encode(Record{Change: &c}))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		s.Apply(0, encode(Record{Change: &c}))
		s.Apply(1, data)
		assert.Equal(t, s.Next, uint64(2))
		s.View()
		parts, err := s.Snapshot().encode("x", 200)
		assert.NilError(t, err)
		r := NewReader(start)
		r.SetFirstRetained(2)
		r.ApplyLogBatch(start, Batch{First: 2, Records: parts})
		assert.Assert(t, !r.HasGap())
		other, same := r.Snapshot(), s.Snapshot()
		other.Offset = same.Offset
		assert.Equal(t, string(encode(other)), string(encode(same)))
	})
}
