package chains

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestChainLoad guards against entries that admit chains which then fail at the last service, after
// the others have worked for them, and against chains that take the room of the urgent class. It
// plays each load with the gate as it is without a service time, and with chains.
func TestChainLoad(t *testing.T) {
	const (
		duration = 14 * time.Second
		begin    = 3 * time.Second
		end      = begin + 8500*time.Millisecond
	)
	u := Class{Name: "U", Importance: 0, Calls: 1, PerSec: Constant(400), Customer: AnyOf(84), Timeout: 500 * time.Millisecond}
	p1 := Class{Name: "P1", Importance: 2, Calls: 4, PerSec: Constant(180), Customer: AnyOf(84), Timeout: 4 * time.Second}
	p2 := Class{Name: "P2", Importance: 3, Calls: 8, PerSec: Constant(90), Customer: AnyOf(84), Timeout: 4 * time.Second}
	usual := []Class{u, p1, p2}
	with := func(change func(c *Class)) []Class {
		out := []Class{u, p1, p2}
		for i := range out[1:] {
			change(&out[i+1])
		}
		return out
	}
	burst := func(x float64) func(c *Class) {
		return func(c *Class) {
			base := c.PerSec(0)
			c.PerSec = Between(begin, end, base*x, base)
		}
	}
	for _, test := range []struct {
		name    string
		shed    float64
		slots   int // within the window
		classes []Class
		// failed is the largest part of the failures of today. Callers that repeat at once hide
		// most of these failures, and serving class U takes room from the chains.
		failed float64
		urgent float64 // least part of class U that is served
	}{
		{"usual", 0, DeepSlots, usual, 1, 0.99},
		{"30% over capacity", 0, DeepSlots, with(func(c *Class) { c.PerSec = Constant(c.PerSec(0) * 1.75) }), 0.75, 0.99},
		{"burst of 2.6", 0, DeepSlots, with(burst(2.6)), 0.75, 0.99},
		{"one customer at 7 times its rate", 0, DeepSlots, with(func(c *Class) {
			c.Customer = OneOf84(7)
			base := c.PerSec(0)
			c.PerSec = Constant(base * 1.6 * 90 / 84)
		}), 0.75, 0.99},
		{"callers repeat three times at once", 0, DeepSlots, with(func(c *Class) { burst(2.6)(c); c.AtOnce = 3 }), 2, 0.99},
		{"capacity drops by half", 0, DeepSlots / 2, usual, 0.75, 0.99},
		{"sheds 55% for 8.5 s", 0.55, DeepSlots, usual, 0.4, 0.7},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var results [2]map[string]*Result
			for i, whole := range []bool{false, true} {
				l := New(whole)
				l.Shed = Between(begin, end, test.shed, 0)
				l.Slots = Between(begin, end, test.slots, DeepSlots)
				l.Run(duration, test.classes...)
				results[i] = l.Results
				for _, c := range test.classes {
					t.Logf("whole=%-5v %s %+v", whole, c.Name, *l.Results[c.Name])
				}
			}
			today, whole := results[0], results[1]
			assert.Check(t, float64(whole["U"].OK) >= test.urgent*float64(whole["U"].Offered))
			for _, name := range []string{"P1", "P2"} {
				r := whole[name]
				assert.Check(t, float64(r.OthersOK)/float64(r.Others) >= 0.97*float64(r.OK)/float64(r.Offered), "%s: the others are served less than their share", name)
			}
			assert.Check(t, failures(whole) <= test.failed*failures(today)+10, "%v failures, %v today", failures(whole), failures(today))
		})
	}
}

func failures(results map[string]*Result) float64 {
	return float64(results["P1"].Failed + results["P2"].Failed)
}
