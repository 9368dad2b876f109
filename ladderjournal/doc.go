// Package ladderjournal keeps in the platform's store what must outlast the VMs.
//
// Three keys belong to a job: its body, written once by the VM that accepted it;
// its cancellation, written by the VM that took it; and its progress, written by
// the leader alone, under the condition that it still leads. A further key names
// the workers on which a leader may have started tasks, so that the next one knows
// whom to ask before it starts anything again.
//
// A write without an answer may still take effect. [Journal.Accept] and
// [Journal.Cancel] therefore say so ([Unsettled]), and their caller must neither
// confirm nor deny.
//
// # Usage
//
//	journal := ladderjournal.New(store)
//	outcome, err := journal.Accept(ctx, job)
//	state, err := journal.Load(ctx)
package ladderjournal
