package route

import (
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/model"
)

func TestSplitter(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts []model.Part
		n     int
		want  map[string]int
	}{
		{"two parts", []model.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, 100, map[string]int{"a": 90, "b": 10}},
		{"short window", []model.Part{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}, 8, map[string]int{"a": 6, "b": 2}},
		{"part without weight", []model.Part{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}, 5, map[string]int{"b": 5}},
		{"no weights", []model.Part{{Service: "a"}}, 2, map[string]int{"": 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewSplitter()
			got := map[string]int{}
			for range test.n {
				got[s.Pick("r", test.parts)]++
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestPriorityOrder(t *testing.T) {
	// A call made for a running request is more important than new requests.
	// The priority of a customer has precedence over that of the route.
	order := []int{
		priorityLevel(2, 0, ""),
		priorityLevel(0, 0, "a"), priorityLevel(1, 0, "a"), priorityLevel(2, 0, "a"),
		priorityLevel(0, 1, "a"), priorityLevel(2, 1, "a"),
	}
	for i := 1; i < len(order); i++ {
		assert.Assert(t, order[i-1] < order[i], "%v", order)
	}
	assert.Equal(t, priorityLevel(2, 9, "a"), model.MaxLevel)
}
