package ladderdemo

import (
	"math/rand/v2"
	"time"

	"lacewingladder/laddermodel"
	"lacewingladder/laddertrace"
)

// The rates of the demo's trace, in requests a second.
const (
	fitcheckRate = 120
	bookingRate  = 60
	billingRate  = 15
)

// traceSeed seeds the demo's trace.
const traceSeed = 7

// Trace returns a trace of the given length: fit checks, bookings and billings,
// with a batch job, a gang and a service among them.
func Trace(length time.Duration) []laddertrace.Entry {
	r := rand.New(rand.NewPCG(traceSeed, traceSeed))
	var trace []laddertrace.Entry
	poisson := func(rate float64, add func(at time.Duration)) {
		at := time.Duration(0)
		for {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= length {
				return
			}
			add(at)
		}
	}
	urgent := func(member, class string, run time.Duration, keyed bool) func(time.Duration) {
		return func(at time.Duration) {
			e := laddertrace.Entry{
				At: at, Member: member, Kind: laddermodel.Urgent, Class: class, Outcome: "ran",
				Run: run/2 + time.Duration(r.Int64N(int64(run))),
			}
			if keyed {
				e.Key = laddertrace.MintKey
			}
			trace = append(trace, e)
		}
	}
	poisson(fitcheckRate, urgent("jadewing", "fitcheck", 80*time.Millisecond, false))
	poisson(bookingRate, urgent("bureau", "booking", 120*time.Millisecond, true))
	poisson(billingRate, urgent("jadewing", "billing", 100*time.Millisecond, true))
	small := laddermodel.Size{Slots: 1, Millicores: 1000, Memory: 2 << 30}
	trace = append(
		trace,
		laddertrace.Entry{
			At: length / 10, Member: "jadewing", Kind: laddermodel.Batch, Team: "regrades", Size: small,
			Tasks: 48, Run: time.Second, Estimate: time.Second, Outcome: "done",
		},
		laddertrace.Entry{
			At: length / 5, Member: "jadewing", Kind: laddermodel.Gang, Team: "reconciliation", Size: small,
			Tasks: 16, Run: time.Second, Estimate: time.Second, Outcome: "done",
		},
		laddertrace.Entry{
			At: length / 4, Member: "bureau", Kind: laddermodel.Service, Team: "archive", Size: small,
			Tasks: 3, Run: time.Hour, Outcome: "running",
		},
	)
	return laddertrace.Sort(trace)
}

// Urgent returns a trace of fit checks alone, at the demo's rate, that begins
// after a pause.
func Urgent(length, pause time.Duration) []laddertrace.Entry {
	var trace []laddertrace.Entry
	for _, e := range Trace(length) {
		if e.Class == "fitcheck" {
			e.At += pause
			trace = append(trace, e)
		}
	}
	return trace
}

// Fill returns a trace that fills slots with batch work of two teams at once.
func Fill(slots int, run time.Duration) []laddertrace.Entry {
	small := laddermodel.Size{Slots: 1, Millicores: 1000, Memory: 2 << 30}
	var trace []laddertrace.Entry
	for _, team := range []struct {
		member, name string
		quota        int
	}{{"jadewing", "regrades", 192}, {"jadewing", "reconciliation", 128}, {"bureau", "archive", 128}} {
		tasks := min(slots, team.quota)
		slots -= tasks
		if tasks > 0 {
			trace = append(trace, laddertrace.Entry{
				Member: team.member, Kind: laddermodel.Batch, Team: team.name, Size: small, Tasks: tasks,
				Run: run, Estimate: run,
			})
		}
	}
	return trace
}
