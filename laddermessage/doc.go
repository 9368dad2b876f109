// Package laddermessage holds the messages that entry VMs exchange.
//
// Every exchange is one question and one answer. The questions are [Beat],
// [Reserve], [Release], [Forward], [Fetch], [Push], [Move], [Ends], [Running],
// [Notice] and [Look]; each names its answer. Any question may also be answered
// by a [Fault].
//
// Messages are plain values without encoding tags; see laddercodec for the form
// in which they travel and ladderpeer for the way.
//
// # Usage
//
//	answer, err := peers.Call(ctx, peer, laddermessage.Reserve{Ask: ask})
//	switch a := answer.(type) {
//	case laddermessage.Room:
//		use(a.Reservation)
//	case laddermessage.Full:
//		wait(a.RetryAfter)
//	}
package laddermessage
