package frame

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var buffers = sync.Pool{New: func() any { return new([64 << 10]byte) }}

// echoBuffered echoes the body with a buffer from a pool.
func echoBuffered(st *Stream) {
	buf := buffers.Get().(*[64 << 10]byte)
	defer buffers.Put(buf)
	if st.SendHead(nil) != nil {
		return
	}
	if _, err := io.CopyBuffer(struct{ io.Writer }{st}, struct{ io.Reader }{st}, buf[:]); err == nil {
		_ = st.CloseWrite(nil)
	}
}

func roundTrip(s *Session, head, body, buf []byte) error {
	st, err := s.Open(bg, 1, head)
	if err != nil {
		return err
	}
	defer st.Reset(CodeCanceled)
	if _, err := st.Write(body); err != nil {
		return err
	}
	if err := st.CloseWrite(nil); err != nil {
		return err
	}
	if _, err := st.RecvHead(bg); err != nil {
		return err
	}
	for {
		if _, err := st.Read(buf); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		for _, par := range []int{1, 64} {
			b.Run(fmt.Sprintf("body=%d/streams=%d", size, par), func(b *testing.B) { benchExchange(b, size, par) })
		}
	}
}

func benchExchange(b *testing.B, size, par int) {
	ca, cb := tcpPair(b)
	cs, _ := newSessionPair(b, ca, cb, echoBuffered)
	head := make([]byte, 100)
	times := make([]time.Duration, b.N)
	var next atomic.Int64
	b.ReportAllocs()
	b.SetBytes(int64(2 * size))
	b.ResetTimer()
	var wg sync.WaitGroup
	for range par {
		wg.Go(func() {
			body, buf := make([]byte, size), make([]byte, 64<<10)
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				began := time.Now()
				if err := roundTrip(cs, head, body, buf); err != nil {
					b.Error(err)
					return
				}
				times[i-1] = time.Since(began)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[b.N*99/100].Microseconds()), "p99-µs")
}

// BenchmarkIdleSession reports the heap and stack memory of one side of an idle
// session.
func BenchmarkIdleSession(b *testing.B) {
	const pairs = 200
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var all []*Session
		for range pairs {
			ca, cb := tcpPair(b)
			cs, ss, _, _ := connectBoth(ca, cb, echoBuffered, named("a"), named("b"))
			if err := roundTrip(cs, nil, nil, make([]byte, 1)); err != nil {
				b.Fatal(err)
			}
			all = append(all, cs, ss)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
		b.ReportMetric(float64(used/(2*pairs)), "B/session")
		closeAll(all...)
	}
}

// A 200 MB body must pass through a session without heap growth beyond 32 MiB,
// also if the reader is slower than the writer.
func TestLargeBodyInSmallHeap(t *testing.T) {
	const size, maxHeap = 200 << 20, 32 << 20
	defer debug.SetGCPercent(debug.SetGCPercent(20))
	a, b := tcpPair(t)
	cs, _ := newSessionPair(t, a, b, echoBuffered)
	st, err := cs.Open(bg, 1, nil)
	assert.NilError(t, err)
	sent := make(chan error, 1)
	go func() {
		chunk := make([]byte, 64<<10)
		for range size / len(chunk) {
			if _, err := st.Write(chunk); err != nil {
				sent <- err
				return
			}
		}
		sent <- st.CloseWrite(nil)
	}()
	buf := make([]byte, 64<<10)
	total, peakHeap := 0, uint64(0)
	for i := 0; ; i++ {
		n, err := st.Read(buf)
		total += n
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		if i%200 == 0 {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peakHeap = max(peakHeap, m.HeapAlloc)
		}
	}
	assert.NilError(t, <-sent)
	assert.Equal(t, total, size)
	assert.Assert(t, peakHeap < maxHeap, "peak heap of %d bytes", peakHeap)
	t.Logf("peak heap %d KiB", peakHeap>>10)
}
