// Package ladderdelegate lets entry VMs poll workers on behalf of the leader.
//
// If there are more workers than one VM can poll, the leader assigns them to delegates,
// one or more VMs in each zone. A [Delegate] polls its workers, which also renews their
// leases, sends the leader's orders to them and reports the responses to the leader. It
// makes no scheduling decisions. The leader decides by the same rules as if it had made
// the calls itself.
//
// The leader limits in time what a delegate may do. The limits are times on the
// delegate's boot clock, which also advances while the VM is suspended, so a message that
// was delayed on the way, or by a suspended delegate, is not acted on too late. The
// leader learns the readings of that clock from the delegate's reports and keeps a
// [ClockBound], with which it converts times so that an error makes a limit earlier, never
// later.
//
// [Assign] chooses the delegate of each worker.
//
// # Usage
//
//	delegate := ladderdelegate.New(workers, clock, boot, log)
//	ok := delegate.Apply(delegation) // handles a message with assignments and orders
//	report, ok := delegate.Report(ctx, poll) // answers the leader's poll for a report
//
// and on the leader:
//
//	delegateOf := ladderdelegate.Assign(workers, vms, current)
package ladderdelegate
