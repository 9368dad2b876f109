package ladderholder_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermodel"
)

// newHolder returns a holder that holds n workers of eight slots.
func newHolder(n int, log ladderholder.Log) (*ladderholder.Holder, time.Time) {
	now := time.Unix(1000, 0)
	h := ladderholder.New("vm", "1", time.Hour, 1, log)
	workers := make([]laddermodel.Worker, n)
	for i := range workers {
		workers[i] = laddermodel.Worker{
			Name: fmt.Sprintf("w%04d", i), Zone: "z", Rack: fmt.Sprintf("r%d", i/8),
			Size: laddermodel.Size{Slots: 8, Millicores: 32_000, Memory: 64 << 30},
		}
	}
	h.SetWorkers(now, workers)
	all := func(string) bool { return true }
	for _, call := range h.Tick(now, all, all) {
		h.Observe(now, call, ladderclaim.Answer{
			Granted: true, Holder: "vm#1", Epoch: 1, Boot: 1, Age: time.Hour, Until: 2 * time.Hour,
			Report: ladderclaim.Report{Epoch: 1, At: time.Hour},
		})
	}
	return h, now
}

// BenchmarkDecision measures one placement and its release, log line included,
// among the workers of one holder.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{8, 48, 286, 2000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			h, now := newHolder(n, ladderlog.New(io.Discard, "info").Part("holder"))
			ask := ladderholder.Ask{
				Task: "t", Source: "c", Size: laddermodel.Size{Slots: 1, Millicores: 1000, Memory: 1 << 30}, Policy: "spread",
			}
			b.ReportAllocs()
			for b.Loop() {
				room, err := h.Reserve(now, ask)
				if err != nil {
					b.Fatal(err)
				}
				h.Release(now, ladderholder.End{Worker: room.Worker.Name, Task: "t", Source: "c", Ran: true})
			}
		})
	}
}
