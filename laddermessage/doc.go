// Package laddermessage defines the messages that entry VMs exchange.
//
// Every exchange consists of one request and one reply. The doc comment of each
// request names its reply. There are three groups of requests:
//
//   - Requests between all entry VMs, for membership, capacity, configuration and
//     keyed requests: [Heartbeat], [Reserve], [Release], [Forward], [FetchConfig],
//     [ConfigUpdate], [HandoverHome], [EndedTasksQuery], [RunningTasksQuery],
//     [JobsChanged] and [JobStatusQuery].
//   - Requests about jobs that consist of steps, most of them to the leader:
//     [JobAccepted], [JobCancelled], [JobStateQuery], [QueueLengthQuery],
//     [AdviceQuery], [RelayCall], [StoreStatusQuery] and [OperatorQuery].
//   - Requests of the leader to a delegate, a VM that polls workers on the leader's
//     behalf: [Delegation] and [DelegatePoll].
//
// The reply to any request can also be an [ErrorReply].
//
// Messages are plain values without encoding tags. Package laddercodec encodes
// them, and package ladderpeer transports them.
//
// # Usage
//
//	reply, err := client.Call(ctx, peer, laddermessage.Reserve{Request: request})
//	switch r := reply.(type) {
//	case laddermessage.Reserved:
//		use(r.Reservation)
//	case laddermessage.NoCapacity:
//		wait(r.RetryAfter)
//	}
package laddermessage
