package ladderpeer_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lacewingladder/laddermessage"
)

// work uses the processor for about a millisecond.
func work() {
	var data [sha256.Size]byte
	for range 10000 {
		data = sha256.Sum256(data[:])
	}
}

// BenchmarkTakeover measures how long it takes until a new leader and 146 other VMs, which all call each other at
// once and again after each failure, have had an answer each. All share one processor with goroutines that only
// use it up.
func BenchmarkTakeover(b *testing.B) {
	const others = 146
	const limit = 500 * time.Millisecond
	for _, load := range []int{0, 4} {
		b.Run(fmt.Sprintf("load=%d", load), func(b *testing.B) {
			var dials, failed atomic.Int64
			for b.Loop() {
				b.StopTimer()
				config := newTLS(b)
				leader := startVM(b, loopback, config, config)
				vms := make([]*vm, others)
				for i := range vms {
					vms[i] = startVM(b, loopback, config, config)
				}
				loaded, stop := context.WithCancel(b.Context())
				for range load {
					go func() {
						for loaded.Err() == nil {
							work()
						}
					}()
				}
				b.StartTimer()
				var answered sync.WaitGroup
				ask := func(from, to *vm) {
					answered.Go(func() {
						for {
							ctx, cancel := context.WithTimeout(b.Context(), limit)
							_, err := from.client.Call(ctx, to.address, laddermessage.JobStatusQuery{Job: "j"})
							cancel()
							if err == nil {
								return
							}
							failed.Add(1)
							time.Sleep(50 * time.Millisecond)
						}
					})
				}
				for _, v := range vms {
					ask(v, leader)
					ask(leader, v)
				}
				answered.Wait()
				b.StopTimer()
				stop()
				for _, v := range append(vms, leader) {
					dials.Add(v.dials.Load())
					v.stop()
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(dials.Load())/float64(b.N), "handshakes/op")
			b.ReportMetric(float64(failed.Load())/float64(b.N), "failures/op")
		})
	}
}
