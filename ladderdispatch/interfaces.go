package ladderdispatch

import (
	"context"
	"time"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderclaim"
	"lacewingladder/ladderholder"
	"lacewingladder/laddermodel"
)

// Holder is the [ladderholder.Holder] of this entry VM. It reserves capacity on
// the workers whose claims the VM holds.
type Holder interface {
	// ReserveOrWait reserves capacity at once, adds the request to the holder's
	// wait queue, or returns an error. It does not block. The Waiter is nil
	// unless the request is waiting.
	ReserveOrWait(now time.Time, cr ladderholder.CapacityRequest) (laddermodel.Reservation, *ladderholder.Waiter, error)
	// CancelWait removes a waiter from the wait queue. It returns the reservation
	// that was made in the meantime, if any, which the caller must then use or
	// release.
	CancelWait(w *ladderholder.Waiter) (laddermodel.Reservation, bool)
	// Release frees the capacity of a task.
	Release(now time.Time, e ladderholder.TaskEnd)
	// Home returns this VM's right to decide alone for a rack. It returns false
	// if the VM is not the home of the rack.
	Home(now time.Time, rack string) (ladderclaim.Home, bool)
}

// Peers are the other entry VMs.
type Peers interface {
	// Reserve asks a peer's holder for capacity.
	Reserve(ctx context.Context, peer string, cr ladderholder.CapacityRequest) (laddermodel.Reservation, error)
	// Release reports the end of a task to the peer that reserved capacity for
	// it. It does not wait for an answer.
	Release(peer string, e ladderholder.TaskEnd)
	// Forward sends a request with a key to the home of the key and returns its
	// answer.
	Forward(ctx context.Context, peer string, r laddermodel.Request) (laddermodel.Answer, error)
}

// Reply is the result of a start.
type Reply struct {
	// Kind says which of the other fields are set.
	Kind ReplyKind
	// Body is the endpoint's complete answer, for Answered.
	Body []byte
	// Reason is the cause in plain words, for all kinds except Answered.
	Reason string
	// Fenced is true if the worker refused the start because the grant does not
	// cover it. Leaving is true if it refused because it will shut down.
	Fenced  bool
	Leaving bool
}

// ReplyKind is the kind of a [Reply].
type ReplyKind int

// The kinds of a reply.
const (
	// Answered means that the endpoint returned a complete answer.
	Answered ReplyKind = iota
	// Failed means that the endpoint itself reported a failure.
	Failed
	// Refused means that the task is proved not to have begun.
	Refused
	// NoReply means that no reply arrived in time, so that it is not known
	// whether the task has begun.
	NoReply
)

// Workers starts tasks on workers and revokes them.
type Workers interface {
	// Start starts a task and waits for its end. It gives up with [NoReply] if
	// the start is not accepted within startTimeout, if the task has not ended
	// after limit, or if ctx ends.
	Start(ctx context.Context, r laddermodel.Reservation, t laddermodel.Task, startTimeout, limit time.Duration) Reply
	// Revoke makes sure that a task is no longer running. It uses a new
	// connection and takes a bounded time. The argument boot is taken from the
	// grant under which the task was sent, or is zero. For a task that has
	// ended, Revoke also returns its reply.
	Revoke(ctx context.Context, w laddermodel.Worker, boot uint64, task string) (ladderattempt.State, Reply)
}
