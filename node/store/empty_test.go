package store

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
)

// TestEmptySource guards against nodes that ask a source without a configuration all the
// time, as an old state would make them, and against followers that take a reader of such
// a source for a failed one.
func TestEmptySource(t *testing.T) {
	now := boot.Now()
	reader, follower := New(), New()
	assert.Equal(t, reader.StateAge(now), time.Duration(math.MaxInt64))
	reader.ApplySnapshot(nil, now, now.Add(time.Second))
	assert.Equal(t, reader.StateAge(now.Add(time.Second)), time.Second)
	assert.Assert(t, reader.Current() == nil, "an empty source is no configuration")

	follower.ApplyPeerReply(reader.Records(RecordsRequest{}, now.Add(time.Second)), false, now.Add(time.Second), now.Add(time.Second))
	assert.Assert(t, follower.StateAge(now.Add(time.Second)) <= time.Second)
	assert.Assert(t, follower.Current() == nil)

	reader.ApplySnapshot(&config.Snapshot{Offset: 4}, now.Add(time.Second), now.Add(2*time.Second))
	follower.ApplyPeerReply(reader.Records(RecordsRequest{}, now.Add(2*time.Second)), false, now.Add(2*time.Second), now.Add(2*time.Second))
	assert.Equal(t, follower.Offset(), uint64(4))
	assert.Equal(t, follower.StateAge(now.Add(2*time.Second)), time.Second)
}
