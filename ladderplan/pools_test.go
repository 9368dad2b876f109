package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
)

// BenchmarkSteadyPlan plans for a large fleet on which nothing can start, after the report of one worker.
func BenchmarkSteadyPlan(b *testing.B) {
	const workers = 1100
	now := time.UnixMilli(1_000_000)
	p := New(Options{
		LeaseDuration: time.Hour, MaxLeaseDuration: time.Hour, ElectedAt: now, JobRetention: time.Minute,
		Log: ladderlog.Discard().Component("plan"),
	})
	p.SetFleet(&ladderflow.FleetConfig{Version: 1})
	list := make([]ladderflow.Worker, workers)
	roster := map[string]bool{}
	for i := range list {
		list[i] = testWorker(i)
		list[i].ID = fmt.Sprintf("i-%010x", i*7919)
		roster[list[i].ID] = true
	}
	p.SetWorkers(now, list)
	p.SetRoster(roster)
	for i := 0; b.Loop(); i++ {
		now = now.Add(500 * time.Microsecond)
		p.RecordReport(now, list[i%workers].ID, now, ladderflow.StatusReport{Incarnation: 1, Clock: now.Sub(time.UnixMilli(0))})
		p.placementDue = true
		p.Plan(now, now, LeadershipConfirmed)
	}
}
