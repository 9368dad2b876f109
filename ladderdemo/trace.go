package ladderdemo

import (
	"math/rand/v2"
	"time"

	"lacewingladder/laddermodel"
	"lacewingladder/laddertrace"
)

// The mean rates of requests of each class in the demo's trace, in requests per
// second.
const (
	fitcheckRate = 120
	bookingRate  = 60
	billingRate  = 15
)

// traceSeed is the seed of the random numbers from which the demo's trace is
// generated.
const traceSeed = 7

// Trace returns a trace of the given length. It has urgent requests of the classes
// fitcheck, booking and billing, a batch job, a gang and a service.
func Trace(length time.Duration) []laddertrace.Entry {
	random := rand.New(rand.NewPCG(traceSeed, traceSeed))
	var trace []laddertrace.Entry
	// poisson calls add for each arrival of a Poisson process with the given rate.
	poisson := func(rate float64, add func(at time.Duration)) {
		at := time.Duration(0)
		for {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= length {
				return
			}
			add(at)
		}
	}
	// urgent returns a function that adds a request with a run time between half and
	// one and a half times the given one.
	urgent := func(member, class string, run time.Duration, keyed bool) func(time.Duration) {
		return func(at time.Duration) {
			e := laddertrace.Entry{
				At: at, Member: member, Kind: laddermodel.Urgent, Class: class, Outcome: "ran",
				Run: run/2 + time.Duration(random.Int64N(int64(run))),
			}
			if keyed {
				e.Key = laddertrace.GenerateKey
			}
			trace = append(trace, e)
		}
	}
	poisson(fitcheckRate, urgent("jadewing", "fitcheck", 80*time.Millisecond, false))
	poisson(bookingRate, urgent("bureau", "booking", 120*time.Millisecond, true))
	poisson(billingRate, urgent("jadewing", "billing", 100*time.Millisecond, true))
	taskSize := laddermodel.Size{Slots: 1, Millicores: 1000, Memory: 2 << 30}
	trace = append(
		trace,
		laddertrace.Entry{
			At: length / 10, Member: "jadewing", Kind: laddermodel.Batch, Team: "regrades", Size: taskSize,
			Tasks: 48, Run: time.Second, Estimate: time.Second, Outcome: "done",
		},
		laddertrace.Entry{
			At: length / 5, Member: "jadewing", Kind: laddermodel.Gang, Team: "reconciliation", Size: taskSize,
			Tasks: 16, Run: time.Second, Estimate: time.Second, Outcome: "done",
		},
		laddertrace.Entry{
			At: length / 4, Member: "bureau", Kind: laddermodel.Service, Team: "archive", Size: taskSize,
			Tasks: 3, Run: time.Hour, Outcome: "running",
		},
	)
	return laddertrace.Sort(trace)
}

// UrgentTrace returns a trace of the given length that has only requests of the class
// fitcheck, at the rate of the demo's trace. The requests begin after the pause.
func UrgentTrace(length, pause time.Duration) []laddertrace.Entry {
	var trace []laddertrace.Entry
	for _, e := range Trace(length) {
		if e.Class == "fitcheck" {
			e.At += pause
			trace = append(trace, e)
		}
	}
	return trace
}

// BatchTrace returns a trace of batch jobs that use the given number of slots at once for
// the given run time. The slots are divided among the teams, up to each team's
// quota.
func BatchTrace(slots int, run time.Duration) []laddertrace.Entry {
	taskSize := laddermodel.Size{Slots: 1, Millicores: 1000, Memory: 2 << 30}
	var trace []laddertrace.Entry
	for _, team := range []struct {
		member, name string
		quota        int
	}{{"jadewing", "regrades", 192}, {"jadewing", "reconciliation", 128}, {"bureau", "archive", 128}} {
		tasks := min(slots, team.quota)
		slots -= tasks
		if tasks > 0 {
			trace = append(trace, laddertrace.Entry{
				Member: team.member, Kind: laddermodel.Batch, Team: team.name, Size: taskSize, Tasks: tasks,
				Run: run, Estimate: run,
			})
		}
	}
	return trace
}
