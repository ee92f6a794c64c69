package metric_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/metric"
)

// Guards against nodes in one process that share measurements.
func TestSetsAreSeparate(t *testing.T) {
	a, b := metric.New(), metric.New()
	a.Add(metric.Admitted, 2)
	assert.Equal(t, a.Count(metric.Admitted), int64(2))
	assert.Equal(t, b.Count(metric.Admitted), int64(0))
}

func ExampleSet() {
	m := metric.New()
	m.Add(metric.Admitted, 3)
	m.Put(metric.Epoch, 7)
	m.Observe(metric.RequestTime, 2*time.Millisecond)
	fmt.Println(m.Count(metric.Admitted), m.Count(metric.Epoch), len(m.Export()))
	// Output: 3 7 3
}
