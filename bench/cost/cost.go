package cost

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"dogwoodsill.org/bench/load"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/metric"
)

// Options sets the sizes and durations of the measurements.
type Options struct {
	Calls     int           // number of calls in the latency measurement
	Sizes     []int         // node counts of the idle fleets
	Customers []int         // customer counts, each measured with a fleet of 18 nodes
	Idle      time.Duration // duration of each idle measurement
}

// DefaultOptions returns the default sizes. A run with them takes about three
// minutes.
func DefaultOptions() Options {
	return Options{Calls: 5000, Sizes: []int{9, 18, 36, 72, 126}, Customers: []int{8, 64, 512}, Idle: 8 * time.Second}
}

// Run measures latency and control overhead and writes the results as tables.
func Run(ctx context.Context, w io.Writer, o Options) error {
	if err := calls(ctx, w, o.Calls); err != nil {
		return err
	}
	if err := fleets(ctx, w, o); err != nil {
		return err
	}
	return customers(ctx, w, o)
}

// path is a way to reach an upstream: directly or through nodes.
type path struct {
	name string
	url  func(i int) string
}

// calls measures the latency and allocations of calls made directly to upstreams
// and through nodes.
func calls(ctx context.Context, w io.Writer, n int) error {
	r, err := site.Start(ctx, site.Sized(9, 1))
	if err != nil {
		return err
	}
	defer r.Stop()
	client := load.Client()
	defer client.CloseIdleConnections()
	key := r.Keys["customer0000"]
	paths := []path{
		{"direct to the upstream", func(i int) string { return "http://" + r.Nodes[i%9].Upstream.Addr() }},
		{"through nodes", func(i int) string { return "http://" + r.Nodes[i%9].Addrs().Callers }},
	}
	if _, err := fmt.Fprintln(w, "one call at a time, 200 a second, empty body"); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "  path\tp50 ms\tp99 ms\tallocations\tKB allocated")
	for _, p := range paths {
		m := measure(ctx, client, p, key, n)
		if m.failed > 0 {
			return fmt.Errorf("%s: %d of %d calls failed", p.name, m.failed, n)
		}
		_, _ = fmt.Fprintf(t, "  %s\t%.3f\t%.3f\t%.0f\t%.1f\n", p.name, ms(m.quantile(0.5)), ms(m.quantile(0.99)), m.allocs, m.bytes/1024)
	}
	return t.Flush()
}

// callInterval is the interval between calls. It keeps them below the rate of the
// customer and lets the garbage collector run between them.
const callInterval = 5 * time.Millisecond

type result struct {
	took          []time.Duration
	failed        int
	allocs, bytes float64 // per call, including those of the caller itself
}

func (m *result) quantile(q float64) time.Duration {
	return m.took[int(q*float64(len(m.took)-1))]
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func measure(ctx context.Context, client *http.Client, p path, key string, n int) *result {
	const warm = 200
	m := &result{}
	var before, after runtime.MemStats
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	for i := range warm + n {
		if i == warm {
			runtime.ReadMemStats(&before)
		}
		<-tick.C
		o := load.Send(ctx, client, p.url(i), key, load.Request{ID: fmt.Sprint(p.name, i), Method: http.MethodGet, Path: "/runs/7"})
		if i < warm {
			continue
		}
		if !o.OK() {
			m.failed++
		}
		m.took = append(m.took, o.Took)
	}
	runtime.ReadMemStats(&after)
	m.allocs = float64(after.Mallocs-before.Mallocs) / float64(n)
	m.bytes = float64(after.TotalAlloc-before.TotalAlloc) / float64(n)
	slices.Sort(m.took)
	return m
}

// fleets measures the control overhead of idle fleets of several sizes.
func fleets(ctx context.Context, w io.Writer, o Options) error {
	if _, err := fmt.Fprintln(w, "\nidle fleets, 8 customers: control for each node"); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "  nodes\tbytes/s\t% of a core\theap KB")
	for _, n := range o.Sizes {
		if err := row(ctx, t, n, 8, n, o.Idle); err != nil {
			return err
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// customers measures the control overhead of fleets of one size with several
// numbers of customers.
func customers(ctx context.Context, w io.Writer, o Options) error {
	const nodes = 18
	if _, err := fmt.Fprintf(w, "\n%d nodes, by customers: control for each node\n", nodes); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "  customers\tbytes/s\t% of a core\theap KB")
	for _, n := range o.Customers {
		if err := row(ctx, t, nodes, n, n, o.Idle); err != nil {
			return err
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// row measures the network traffic, processor time and heap size of one idle
// fleet and writes them as a table row.
func row(ctx context.Context, w io.Writer, nodes, customers, label int, idle time.Duration) error {
	runtime.GC()
	var base runtime.MemStats
	runtime.ReadMemStats(&base)
	r, err := site.Start(ctx, site.Sized(nodes, customers))
	if err != nil {
		return err
	}
	defer r.Stop()
	cpu, err := metric.ProcessorTime()
	if err != nil {
		return err
	}
	bytes := wireBytes(r)
	timer := time.NewTimer(idle)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	seconds := idle.Seconds() * float64(nodes)
	ended, err := metric.ProcessorTime()
	if err != nil {
		return err
	}
	used := ended - cpu
	runtime.GC()
	var heap runtime.MemStats
	runtime.ReadMemStats(&heap)
	_, err = fmt.Fprintf(w, "  %d\t%.0f\t%.2f\t%d\n", label, float64(wireBytes(r)-bytes)/seconds,
		100*used.Seconds()/seconds, (int64(heap.HeapAlloc)-int64(base.HeapAlloc))/int64(nodes)/1024)
	return err
}

// wireBytes returns the total number of bytes sent between nodes so far. Each
// byte is sent by one node and received by another, but counts once.
func wireBytes(r *site.Running) int64 {
	var n int64
	for _, node := range r.Nodes {
		n += node.Wire.Bytes()
	}
	return n
}
