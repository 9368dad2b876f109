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

// newClaimedHolder returns a holder with claims on n workers of eight slots, and
// the time at which it got them.
func newClaimedHolder(n int, log ladderholder.Log) (*ladderholder.Holder, time.Time) {
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
			Granted: true, Holder: "vm#1", Epoch: 1, Boot: 1, Uptime: time.Hour, Until: 2 * time.Hour,
			Report: ladderclaim.Report{Epoch: 1, At: time.Hour},
		})
	}
	return h, now
}

// BenchmarkDecision measures one placement and its release, including the log
// line, for several numbers of held workers.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{8, 48, 286, 2000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			h, now := newClaimedHolder(n, ladderlog.New(io.Discard, "info").Component("holder"))
			request := ladderholder.CapacityRequest{
				Task: "t", Source: "c", Size: laddermodel.Size{Slots: 1, Millicores: 1000, Memory: 1 << 30}, Policy: "spread",
			}
			b.ReportAllocs()
			for b.Loop() {
				reservation, err := h.Reserve(now, request)
				if err != nil {
					b.Fatal(err)
				}
				h.Release(now, ladderholder.TaskEnd{Worker: reservation.Worker.Name, Task: "t", Source: "c", Ran: true})
			}
		})
	}
}
