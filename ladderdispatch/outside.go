package ladderdispatch

import (
	"context"
	"time"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderclaim"
	"lacewingladder/ladderholder"
	"lacewingladder/laddermodel"
)

// Room is the holder of this entry VM.
type Room interface {
	Await(now time.Time, a ladderholder.Ask) (laddermodel.Reservation, *ladderholder.Waiter, error)
	Leave(w *ladderholder.Waiter) (laddermodel.Reservation, bool)
	Release(now time.Time, e ladderholder.End)
	Home(now time.Time, rack string) (ladderclaim.Home, bool)
}

// Peers are the other entry VMs.
type Peers interface {
	// Reserve asks a peer for room.
	Reserve(ctx context.Context, peer string, a ladderholder.Ask) (laddermodel.Reservation, error)
	// Release tells a peer of the end of a task. It does not wait.
	Release(peer string, e ladderholder.End)
	// Forward hands a keyed request to its home.
	Forward(ctx context.Context, peer string, r laddermodel.Request) (laddermodel.Answer, error)
}

// Reply is what came of a start.
type Reply struct {
	// Kind says which of the cases below it is.
	Kind ReplyKind
	// Body is the endpoint's whole answer, for Answered.
	Body []byte
	// Reason says why, for all other kinds.
	Reason string
	// Fenced and Leaving qualify a refusal.
	Fenced  bool
	Leaving bool
}

// ReplyKind is a kind of [Reply].
type ReplyKind int

// The kinds of a reply.
const (
	// Answered is a whole answer.
	Answered ReplyKind = iota
	// Failed is the endpoint's own failure.
	Failed
	// Refused proves that the task did not begin.
	Refused
	// Silent means that nothing is known.
	Silent
)

// Workers are the endpoint VMs.
type Workers interface {
	// Start runs a task to its end. It gives up with [Silent] when the start is
	// not accepted within share, when limit has passed, or when ctx ends.
	Start(ctx context.Context, r laddermodel.Reservation, t laddermodel.Task, share, limit time.Duration) Reply
	// Revoke makes sure that a task does not run any more, over a new
	// connection and within a bounded time. Boot is that of the grant under which the task was sent, or
	// zero. For an ended task it returns the reply as well.
	Revoke(ctx context.Context, w laddermodel.Worker, boot uint64, task string) (ladderattempt.State, Reply)
}
