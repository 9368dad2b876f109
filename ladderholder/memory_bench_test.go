package ladderholder_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderkey"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermodel"
)

// heapBytes returns the number of bytes in use on the heap.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory measures the heap size of a holder whose workers are full of
// tasks, and of a book of idempotency keys that stores answers of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{36, 286, 2000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				h, now := newClaimedHolder(n, ladderlog.Discard().Component("holder"))
				for i := range 8 * n {
					_, _ = h.Reserve(now, ladderholder.CapacityRequest{
						Task: fmt.Sprintf("jadewing.01M8Z3B4HSHZTDB0N4XG21MTED/%d/1", i), Kind: laddermodel.Batch,
						Size: laddermodel.Size{Slots: 1}, Policy: "first",
					})
				}
				b.ReportMetric((heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(h)
			}
		})
	}
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				book := ladderkey.NewBook(time.Hour)
				now := time.Unix(1_800_000_000, 0)
				home := ladderclaim.Home{Rack: "r", Since: now.Add(-2 * time.Hour)}
				for i := range n {
					key := fmt.Sprintf("deed-of-the-bureau-%016d", i)
					book.Begin(now, home, ladderkey.KeyUse{Key: key, Rack: "r", Member: "bureau", Once: true})
					book.Finish(now, key, laddermodel.Answer{Outcome: laddermodel.Ran, Body: make([]byte, 200)})
				}
				b.ReportMetric((heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(book)
			}
		})
	}
}
