package ladderflow

import "time"

// AcknowledgeGuard decides whether a status poll may acknowledge ends to a worker. A worker that
// restarts under its ID numbers its ends from 1 again. A poll that acknowledges the ends of the
// incarnation before would make it forget ends that no report has listed.
//
// The new incarnation can have ends only of runs that were started there. So a poll may acknowledge
// ends unless a start that was sent since the last answered poll may have reached a later
// incarnation than the one that answered. The reply to a start shows the worker's clock, which
// begins anew with each incarnation.
//
// The zero value is ready for use. All its times are of the sender's clock.
type AcknowledgeGuard struct {
	// outstanding is the number of starts without a reply.
	outstanding int
	// pollSentAt is when the last answered poll was sent, and clock is the reading of the worker's
	// clock in the answer.
	pollSentAt time.Time
	clock      time.Duration
	// doubtfulSince is when a start was settled that may have reached a later incarnation, or zero.
	doubtfulSince time.Time
}

// maxClockDriftPercent bounds by how much a worker's clock differs in speed from the sender's.
const maxClockDriftPercent = 2

// StartSent records that a start is being sent to the worker.
func (g *AcknowledgeGuard) StartSent() { g.outstanding++ }

// StartHadNoEffect records that a start was not sent, or was refused.
func (g *AcknowledgeGuard) StartHadNoEffect() { g.outstanding = max(0, g.outstanding-1) }

// StartUnanswered records that the outcome of a start is unknown.
func (g *AcknowledgeGuard) StartUnanswered(now time.Time) {
	g.outstanding = max(0, g.outstanding-1)
	g.doubtfulSince = now
}

// StartAccepted records that the worker accepted a start, and the reading of its clock in the reply.
func (g *AcknowledgeGuard) StartAccepted(now time.Time, clock time.Duration) {
	g.outstanding = max(0, g.outstanding-1)
	// An incarnation that began after the last answered poll was sent is younger than that poll.
	youngest := now.Sub(g.pollSentAt) * (100 + maxClockDriftPercent) / 100
	if g.pollSentAt.IsZero() || clock < g.clock || clock <= youngest {
		g.doubtfulSince = now
	}
}

// PollAnswered records the answer to a poll that was sent at the given time, and the reading of the
// worker's clock in it. Restarted is true if the answer is the first of its incarnation.
func (g *AcknowledgeGuard) PollAnswered(sent time.Time, clock time.Duration, restarted bool) {
	if sent.Before(g.pollSentAt) && !restarted {
		return
	}
	g.pollSentAt, g.clock = sent, clock
	if restarted || sent.After(g.doubtfulSince) {
		g.doubtfulSince = time.Time{}
	}
}

// MayAcknowledge reports whether a poll that is sent now may acknowledge ends of the incarnation that
// answered the last poll.
func (g *AcknowledgeGuard) MayAcknowledge() bool {
	return g.outstanding == 0 && g.doubtfulSince.IsZero()
}
