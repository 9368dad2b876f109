// Package ladderclock gives every other package its notion of time.
//
// No rule of the scheduler calls [time.Now]. Each takes a [Clock], which is
// [System] in a running process and [Manual] in a test, so that a test decides
// when time passes and by how much.
//
// # Usage
//
// A process passes the system clock down once:
//
//	var clock ladderclock.System
//	started := clock.Now()
//
// A test moves a manual clock by hand:
//
//	clock := ladderclock.NewManual(time.Unix(0, 0))
//	clock.Advance(3 * time.Second)
//
// The times of [System] carry a monotonic reading. Differences between two of
// them are therefore not disturbed when the wall clock is set.
package ladderclock
