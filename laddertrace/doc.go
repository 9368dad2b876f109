// Package laddertrace reads and writes traces of requests and jobs, and replays
// them against a running system.
//
// A trace is a file of JSON lines. Each line describes one request or job: the
// time at which it is sent, counted from the start of the trace, what is sent, and
// optionally the expected outcome:
//
//	{"at":"150ms","member":"jadewing","kind":"urgent","class":"fitcheck","run":"80ms","outcome":"ran"}
//	{"at":"1s","member":"bureau","kind":"batch","team":"archive","slots":1,"tasks":8,"run":"2s","outcome":"done"}
//
// [Parse] reads a trace and reports all findings with their lines. A [Replay]
// sends the entries of a trace and returns a [Report], which holds every difference
// from the expected outcomes and the waiting times of each kind of work.
//
// # Usage
//
//	trace, err := laddertrace.Parse("peak.jsonl", data)
//	report := laddertrace.Replay{Trace: trace, Targets: targets, Clock: clock}.Run(ctx)
//	if len(report.Differences) > 0 {
//		// some entries did not end as expected
//	}
package laddertrace
