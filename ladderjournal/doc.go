// Package ladderjournal stores what must survive the entry VMs in the platform's store.
//
// A job has three keys: its definition, written once by the VM that accepted it; its
// cancellation, written by the VM that received it; and its progress, written only by
// the leader, in transactions that fail if it is no longer the leader. One more key
// holds the roster, the set of workers on which a leader may start tasks. A new leader
// polls the workers of the stored roster before it starts tasks that may already run there.
//
// A write that gets no response may still take effect. [Journal.Accept] and
// [Journal.Cancel] report this as [OutcomeUnknown]; the caller must then neither confirm
// nor deny that the write succeeded.
//
// # Usage
//
//	journal := ladderjournal.New(store)
//	outcome, err := journal.Cancel(ctx, id)
//	contents, err := journal.Load(ctx)
package ladderjournal
