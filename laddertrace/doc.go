// Package laddertrace holds recorded traces and replays them against a running
// system.
//
// A trace is a file of JSON lines. Each line is one request or job with the time
// at which it is sent, counted from the beginning, and may state the outcome that
// must come of it:
//
//	{"at":"150ms","member":"jadewing","kind":"urgent","class":"fitcheck","run":"80ms","outcome":"ran"}
//	{"at":"1s","member":"bureau","kind":"batch","team":"archive","tasks":8,"run":"2s","outcome":"done"}
//
// [Parse] reads a trace and reports all findings with their lines. A [Replay]
// sends it and returns a [Report]: every difference from the stated outcomes, and
// the waiting times by kind.
//
// # Usage
//
//	trace, err := laddertrace.Parse("peak.jsonl", data)
//	report := laddertrace.Replay{Trace: trace, Targets: targets, Clock: clock}.Run(ctx)
//	if len(report.Differences) > 0 {
//		// not as stated
//	}
package laddertrace
