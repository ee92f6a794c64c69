package quota_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/quota"
)

func ExampleSplit() {
	zones := []model.ZoneWeight{{Name: "bole", Weight: 0.5}, {Name: "kirkos", Weight: 0.5}}
	for _, s := range quota.Split("press", quota.PerSecond(10), quota.Tokens(49), zones) {
		fmt.Println(s.Zone, s.Slot, s.Rate.Float(), s.Burst.Float())
	}
	// Output:
	// bole 0 2.5 12
	// bole 1 2.5 13
	// kirkos 0 2.5 12
	// kirkos 1 2.5 12
}

func ExamplePool() {
	now := time.Unix(0, 0)
	share := quota.Share{ShareID: quota.ShareID{Customer: "press", Zone: "bole"}, Slots: 1, Rate: quota.Token, Burst: 2 * quota.Token}
	bucket := quota.NewBucket(share, true, now)
	pool := quota.NewPool(quota.PoolOptions{Customer: "press", Node: "bole-1", Incarnation: 1, Zone: "bole"})
	lease := now.Add(time.Minute)
	for range 3 {
		_, ok := pool.Take(now)
		if !ok {
			if req, due := pool.NextRequest([]quota.ShareID{share.ShareID}, 1, now); due {
				pool.HandleReply(bucket.Borrow(req, lease, now), now)
			}
			_, ok = pool.RetryTake(now)
		}
		fmt.Println(ok)
	}
	// Output:
	// true
	// true
	// false
}

// BenchmarkTake measures taking a token from a pool, including the borrow requests
// that this causes.
func BenchmarkTake(b *testing.B) {
	for _, customers := range []int{8, 64, 512} {
		b.Run(fmt.Sprint("customers=", customers), func(b *testing.B) {
			now := time.Unix(0, 0)
			pools := make([]*quota.Pool, customers)
			buckets := make([]*quota.Bucket, customers)
			ids := make([][]quota.ShareID, customers)
			for i := range customers {
				s := quota.Share{ShareID: quota.ShareID{Customer: fmt.Sprint(i), Zone: "a"}, Slots: 1, Rate: quota.Tokens(1e6), Burst: quota.Tokens(1e6)}
				buckets[i] = quota.NewBucket(s, true, now)
				pools[i] = quota.NewPool(quota.PoolOptions{Customer: s.Customer, Node: "a1", Incarnation: 1, Zone: "a"})
				ids[i] = []quota.ShareID{s.ShareID}
			}
			i := 0
			for b.Loop() {
				i = (i + 1) % customers
				now = now.Add(time.Millisecond / time.Duration(customers))
				_, ok := pools[i].Take(now)
				waiting := 0
				if !ok {
					waiting = 1
				}
				if req, due := pools[i].NextRequest(ids[i], waiting, now); due {
					pools[i].HandleReply(buckets[i].Borrow(req, now.Add(time.Minute), now), now)
				}
			}
		})
	}
}

// BenchmarkSplit measures splitting the rates and bursts of all customers among 15
// zones.
func BenchmarkSplit(b *testing.B) {
	var zones []model.ZoneWeight
	for i := range 15 {
		zones = append(zones, model.ZoneWeight{Name: fmt.Sprint("z", i), Weight: 1.0 / 15})
	}
	for _, customers := range []int{8, 64, 512} {
		b.Run(fmt.Sprint("customers=", customers), func(b *testing.B) {
			for b.Loop() {
				for i := range customers {
					quota.Split(fmt.Sprint(i), quota.PerSecond(300), quota.Tokens(600), zones)
				}
			}
		})
	}
}
