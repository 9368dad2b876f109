// Package ladderdelegate lets VMs hold workers on behalf of the leader.
//
// Where there are more workers than one VM can look at, the leader entrusts them to
// delegates, one or more in each zone. A [Delegate] looks at its workers, prolongs their
// leases, and sends the leader's orders; the leader decides all of it, and goes on
// deciding by the same rules as if it had made the calls itself.
//
// What a delegate may do ends by its own clock, which goes on while the VM is suspended:
// the leader names the ends of its errands on that clock. It knows the clock from the
// delegate's reports, as a [Bound] that errs on the side of ending too early. So an
// errand that was held up on the way, or by a frozen delegate, is not carried out late.
//
// [Assign] chooses the delegates.
//
// # Usage
//
//	d := ladderdelegate.New(workers, clock, boot, log)
//	answer := d.Handle(ctx, errands) // or inquire
//	...
//	by := ladderdelegate.Assign(workers, vms, false)
package ladderdelegate
