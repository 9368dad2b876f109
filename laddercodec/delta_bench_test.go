package laddercodec_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingladder/laddercodec"
	"lacewingladder/ladderflow"
)

// fleetOf returns a configuration with n queues. The names of queues and paths are as long and as
// irregular as those that operators use.
func fleetOf(n int) *ladderflow.FleetConfig {
	f := &ladderflow.FleetConfig{Version: int64(n), Services: map[string]ladderflow.Service{"yoyaku": {Name: "yoyaku"}}}
	for i := range n {
		// A multiplicative hash stands for random letters.
		text := fmt.Sprintf("%07x", uint32(i)*2654435761%(1<<28))
		f.Queues = append(f.Queues, ladderflow.Queue{
			Name: "r-" + text, Host: fmt.Sprintf("host%d.example", i%5), Prefix: "/" + text + "/", Service: "yoyaku",
			RequestTimeout: 3 * time.Second, MaxFailures: 4, ObjectiveFactor: 1.5, BaseObjective: 400 * time.Millisecond,
			Advice: &ladderflow.AdviceConfig{BaseTime: 7 * time.Millisecond, TimePerWorker: 100 * time.Microsecond, TicketLifetime: 1500 * time.Millisecond},
		})
	}
	return f
}

// deltaOf returns the difference from base, which may be nil, to a configuration with n queues.
func deltaOf(b *testing.B, n int, base *ladderflow.FleetConfig) ladderflow.FleetDelta {
	f := fleetOf(n)
	if base == nil {
		return f.Whole()
	}
	d, ok := f.Diff(base)
	if !ok {
		b.Fatal("the versions can't be compared")
	}
	return d
}

// BenchmarkDelta measures what a change of the configuration costs the VM that sends it, once for
// each version of its receivers, and what it costs each receiver: a change of one queue, and all
// queues where the receiver has no version.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{45, 1445, 2845, 4245} {
		for name, base := range map[string]*ladderflow.FleetConfig{"one": fleetOf(n - 1), "whole": nil} {
			delta := deltaOf(b, n, base)
			data, err := laddercodec.EncodeDelta(delta)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("send/%s/%d", name, n), func(b *testing.B) {
				for b.Loop() {
					if _, err := laddercodec.EncodeDelta(delta); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(data)), "bytes")
			})
			b.Run(fmt.Sprintf("receive/%s/%d", name, n), func(b *testing.B) {
				for b.Loop() {
					got, err := laddercodec.DecodeDelta(data)
					if err != nil {
						b.Fatal(err)
					}
					got.Apply(base)
				}
			})
		}
	}
}
