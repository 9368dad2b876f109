// Package ladderclock provides the clocks that the other packages use.
//
// The scheduler's decisions do not call [time.Now]. They use a [Clock], which is [System]
// in a running process and [Manual] in a test, so that a test controls when time passes
// and by how much.
//
// # Usage
//
// A process creates the system clock once and passes it on:
//
//	var clock ladderclock.System
//	startedAt := clock.Now()
//
// A test advances a manual clock explicitly:
//
//	clock := ladderclock.NewManual(time.Unix(0, 0))
//	clock.Advance(3 * time.Second)
//
// The times that [System] returns carry a monotonic clock reading. Setting the wall clock
// therefore does not change the difference between two of them.
package ladderclock
