package admit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// learnedChain returns a throttle that has learned a chain from a service to "deep" with the given
// calls, of which the given fraction succeeds.
func learnedChain(now time.Time, service string, calls, success float64) *Throttle {
	t := NewThrottle()
	t.RecordFeedback(now, service, "x", "", Feedback{Level: OpenLevel, PathLevel: OpenLevel, Chain: []ChainShare{{Service: "deep", Calls: calls, Success: success}}})
	return t
}

// TestAdmitChain guards against a chain that is admitted though it can't complete, and against a
// refusal of a single call, of a chain that can complete, or on knowledge that is old or absent.
func TestAdmitChain(t *testing.T) {
	for _, test := range []struct {
		name     string
		calls    float64
		success  float64
		ratio    float64
		after    time.Duration
		admitted bool
	}{
		{"four calls, 45%", 4, 0.45, 0.2, 0, false},
		{"eight calls, 45%", 8, 0.45, 0.2, 0, false},
		{"single call", 1, 0.45, 0.2, 0, true},
		{"three calls", 3, 0.1, 0.2, 0, true},
		{"the service doesn't shed", 60, 0.96, 0, 0, true},
		{"retries make up", 4, 0.7, 0.2, 0, true},
		{"no retries", 4, 0.7, 0, 0, false},
		{"outcome unknown", 4, 0, 0.2, 0, true},
		{"feedback of a second ago", 4, 0.45, 0.2, time.Second, false},
		{"old feedback", 4, 0.45, 0.2, time.Second + 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			throttle := learnedChain(epoch, "service", test.calls, test.success)
			o, ok := throttle.AdmitChain(epoch.Add(test.after), "service", "c", 1, test.ratio)
			assert.Equal(t, ok, test.admitted, "%+v", o)
			if !ok {
				assert.Equal(t, o.Service, "deep")
				assert.Equal(t, throttle.TakeWeight("service", "c"), 2.0)
			}
			_, ok = throttle.AdmitChain(epoch.Add(test.after), "other", "c", 1, test.ratio)
			assert.Assert(t, ok, "unknown chain")
		})
	}
}

// TestChainProbes guards against a recovery that isn't noticed because no chain is admitted, and
// against probes that take part in the overload.
func TestChainProbes(t *testing.T) {
	throttle := learnedChain(epoch, "service", 8, 0.45)
	count := func(direct bool) (admitted int) {
		if direct {
			throttle.RecordFeedback(epoch, "deep", "d", "", Feedback{Level: OpenLevel, PathLevel: OpenLevel})
		}
		for range 1000 {
			if _, ok := throttle.AdmitChain(epoch, "service", "", 1, 0.2); ok {
				admitted++
			}
		}
		return admitted
	}
	assert.Equal(t, count(false), 1000/chainProbeInterval)
	assert.Equal(t, count(true), 1000/directProbeInterval)
}

// TestChainIsLearnedOverNodes guards against a chain that is only known at the node that makes its
// last calls, against one that seems short while its calls fail, and against one that is never
// forgotten.
func TestChainIsLearnedOverNodes(t *testing.T) {
	first, second, entry := NewThrottle(), NewThrottle(), NewThrottle()
	now := epoch
	exchange := func(success float64, serviceTime int64) {
		now = now.Add(50 * time.Millisecond)
		deep := Feedback{Level: OpenLevel, PathLevel: OpenLevel, ServiceTime: serviceTime, Success: success}
		second.RecordFeedback(now, "deep", "d", "", NewThrottle().MergeChildren(now, "deep", "", deep))
		open := Feedback{Level: OpenLevel, PathLevel: OpenLevel}
		first.RecordFeedback(now, "second", "s", "", second.MergeChildren(now, "second", "", open))
		entry.RecordFeedback(now, "first", "f", "", first.MergeChildren(now, "first", "", open))
	}
	complete := func() {
		second.RecordCompleted(now, "second", map[string]int{"deep": 4})
		first.RecordCompleted(now, "first", map[string]int{"second": 1})
	}
	for range 50 {
		complete()
		exchange(1, 0)
	}
	assert.Equal(t, len(entry.service("first").chain.behind), 0, "without a service time nothing is sent")
	for range 50 {
		complete()
		exchange(1, 1000)
	}
	behind := entry.service("first").chain.behind["deep"]
	assert.Assert(t, behind != nil && math.Abs(behind.calls-4) < 0.2, "%+v", behind)
	for range 170 { // 8.5 s without a completed call
		exchange(0.45, 1000)
	}
	assert.Assert(t, math.Abs(behind.calls-4) < 0.2, "%+v", behind)
	o, ok := entry.AdmitChain(now, "first", "", 1, 0.2)
	assert.Assert(t, !ok && o.Service == "deep" && o.Probability < 0.1, "%+v", o)

	recovered := now
	for ok = false; !ok && now.Sub(recovered) < 2*time.Second; _, ok = entry.AdmitChain(now, "first", "", 1, 0.2) {
		exchange(1, 1000)
	}
	assert.Assert(t, now.Sub(recovered) <= time.Second, "%v", now.Sub(recovered))

	_ = entry.outlook(now.Add(chainRetention+1), "first", 0.2)
	assert.Equal(t, len(entry.service("first").chain.behind), 0)
}

// TestOutcomesRecover guards against a target that reports a shedding for long after its end.
func TestOutcomesRecover(t *testing.T) {
	var o Outcomes
	now := epoch
	record := func(n int, shedEach int) {
		for i := range n {
			now = now.Add(10 * time.Millisecond)
			o.Record(now, shedEach == 0 || i%shedEach != 0)
		}
	}
	record(100, 2)
	assert.Assert(t, math.Abs(o.Success(now)-0.5) < 0.05, "%v", o.Success(now))
	record(50, 0)
	assert.Assert(t, o.Success(now) > 0.85, "%v after 0.5 s", o.Success(now))
}

// TestMalformedChain guards against a report that makes every chain seem long or certain to fail.
func TestMalformedChain(t *testing.T) {
	for _, c := range []ChainShare{
		{"deep", math.NaN(), 0.1},
		{"deep", math.Inf(1), 0.1},
		{"deep", -1, 0.1},
		{"deep", 4, math.NaN()},
		{"deep", 4, -1},
		{"deep", 4, 2},
		{"", 4, 0.1},
	} {
		throttle := NewThrottle()
		throttle.RecordFeedback(epoch, "service", "x", "", Feedback{Chain: []ChainShare{c}})
		assert.Equal(t, len(throttle.service("service").chain.behind), 0, "%+v", c)
	}
	var many []ChainShare
	for i := range 100 {
		many = append(many, ChainShare{fmt.Sprint(i), 4, 0.5})
	}
	throttle := NewThrottle()
	throttle.RecordFeedback(epoch, "service", "x", "", Feedback{Chain: many})
	assert.Equal(t, len(throttle.service("service").chain.behind), maxChainEntries)
}

// TestUrgentFirst guards against an urgent request that waits behind calls of less urgent chains,
// and against one that displaces such a call.
func TestUrgentFirst(t *testing.T) {
	q := NewQueue[string](time.Second)
	q.UrgentFirst = true
	item := func(value string, importance int, child bool) Item[string] {
		return Item[string]{Rank: LowestRank(importance), ChildCall: child, Deadline: epoch.Add(time.Hour), Value: value}
	}
	const size = 2
	for _, it := range []Item[string]{item("chain", 2, true), item("chain", 2, true)} {
		assert.Equal(t, len(q.Push(epoch, size, it)), 0)
	}
	for _, test := range []struct {
		it      Item[string]
		dropped string
	}{
		{item("same class", 2, false), "same class"},
		{item("urgent", 0, false), ""},
		{item("urgent", 0, false), ""},
		{item("urgent too", 1, false), "urgent too"},
		{item("chain later", 3, true), "chain later"},
	} {
		dropped := q.Push(epoch, size, test.it)
		if test.dropped == "" {
			assert.Equal(t, len(dropped), 0, "%v", dropped)
			continue
		}
		assert.Equal(t, len(dropped), 1)
		assert.Equal(t, dropped[0].Item.Value, test.dropped)
	}
	var order []string
	for {
		it, ok, _ := q.Pop(epoch, 0)
		if !ok {
			break
		}
		order = append(order, it.Value)
	}
	assert.DeepEqual(t, order, []string{"urgent", "urgent", "chain", "chain"})
}

// TestChainRetryAfter guards against returns that come at once, or after the deadline.
func TestChainRetryAfter(t *testing.T) {
	const left = 3 * time.Second
	assert.Equal(t, ChainRetryAfter(left, 0), 500*time.Millisecond)
	assert.Equal(t, ChainRetryAfter(left, 0.5), 750*time.Millisecond)
	assert.Equal(t, ChainRetryAfter(0, 0.5), minReturn)
}
