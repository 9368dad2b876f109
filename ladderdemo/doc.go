// Package ladderdemo assembles a whole small deployment in one process.
//
// A [Fleet] has a stand-in platform, stand-in workers in three zones, and entry
// VMs that are the real thing: they speak to each other, to callers and to the
// stand-ins over sockets on loopback. The demo command and the tests of the whole
// system start one.
//
// # Usage
//
//	fleet, err := ladderdemo.Start(ctx, ladderdemo.Options{Dir: dir})
//	defer fleet.Close()
//	addresses := fleet.Callers()
package ladderdemo
