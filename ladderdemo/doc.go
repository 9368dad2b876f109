// Package ladderdemo runs a small deployment of the scheduler in one process.
//
// A [Fleet] has stand-ins for the platform and for the workers of three zones (see
// package ladderstand), and real entry VMs. The entry VMs communicate with each
// other, with callers and with the stand-ins over sockets on the loopback
// interface. The demo command starts a fleet; so do package ladderreport and the
// benchmarks of this package.
//
// [RunJobs] starts a deployment on a stand-in for the members' platform, runs jobs
// on it and reports how long they took. [Trace], [UrgentTrace] and [BatchTrace] return traces
// to replay on a fleet (see package laddertrace).
//
// # Usage
//
//	fleet, err := ladderdemo.Start(ctx, ladderdemo.Options{Dir: dir})
//	defer fleet.Close()
//	addresses := fleet.Callers()
package ladderdemo
