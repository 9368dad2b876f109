// Package ladderdispatch carries one request from its acceptance to its final
// answer.
//
// A [Dispatcher] finds the home of a keyed request and hands it over when that is
// another VM. At the home, or for requests without a key at the entry VM itself,
// it reserves room with the holder of a rack, checks once more that it may decide,
// and sends the start straight to the worker under the holder's grant. The rules
// for a second try are those of ladderattempt.
//
// The order of the last three steps matters. The grant is obtained before the
// home is checked, and the worker refuses a start after the grant's end. So even
// a process that is paused between the check and the start can not start a task
// later than one lease after the check.
//
// # Usage
//
//	d := ladderdispatch.New(ladderdispatch.Options{Clock: clock, Room: holder, Peers: peers, Workers: workers})
//	d.SetConfig(config)
//	answer := d.Do(ctx, request)
//
// All that lies outside is behind the interfaces of this package: the local
// holder, the peers and the workers. The package opens no socket.
package ladderdispatch
