package metric_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/metric"
)

// TestSetsAreSeparate guards against metrics shared by several nodes in one
// process.
func TestSetsAreSeparate(t *testing.T) {
	a, b := metric.New(), metric.New()
	a.Add(metric.Admitted, 2)
	assert.Equal(t, a.Value(metric.Admitted), int64(2))
	assert.Equal(t, b.Value(metric.Admitted), int64(0))
}

func ExampleSet() {
	m := metric.New()
	m.Add(metric.Admitted, 3)
	m.SetGauge(metric.Epoch, 7)
	m.Observe(metric.RequestTime, 2*time.Millisecond)
	fmt.Println(m.Value(metric.Admitted), m.Value(metric.Epoch), len(m.Export()))
	// Output: 3 7 3
}

func TestWriteText(t *testing.T) {
	s := metric.New()
	s.Add(metric.Served, 3)
	s.SetGauge(metric.ConcurrencyLimit, 54)
	s.Observe(metric.RequestTime, 20*time.Millisecond)
	var b strings.Builder
	assert.NilError(t, s.WriteText(&b))
	assert.Equal(t, b.String(), "concurrencyLimit 54\nrequestTime.count 1\nrequestTime.p50 20.000\nrequestTime.p99 20.000\nserved 3\n")
}
