package cost

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"dogwoodsill.org/bench/load"
	"dogwoodsill.org/bench/site"
)

// BenchmarkCall measures a call through two nodes with several body sizes.
func BenchmarkCall(b *testing.B) {
	ctx := context.Background()
	r, err := site.Start(ctx, site.Sized(9, 1))
	if err != nil {
		b.Fatal(err)
	}
	defer r.Stop()
	client := load.Client()
	key := r.Keys["customer0000"]
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		body := string(make([]byte, size))
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			refused := 0
			for i := range b.N {
				o := load.Send(ctx, client, "http://"+r.Nodes[i%9].Addrs().Callers, key, load.Request{ID: fmt.Sprint(i), Method: http.MethodGet, Path: "/runs/7", Body: body})
				if !o.OK() {
					refused++
				}
			}
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}
