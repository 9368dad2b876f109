package laddervm

import "time"

const (
	// electionDelayStep is the additional time that a VM waits before it contends for
	// leadership if its processor has half the capacity of the largest in the fleet. With a
	// third it waits two steps, with a quarter three. maxElectionDelay is the longest
	// additional time. It is longer than several responses of the store to another region
	// take, so that a VM with a large processor there still comes first.
	electionDelayStep = 20 * time.Millisecond
	maxElectionDelay  = 100 * time.Millisecond
	// handoverTenths is how large another VM's processor must be, in tenths of the leader's,
	// for that VM to lead instead. The leader's work grows with the fleet, and VMs differ in
	// size.
	handoverTenths = 15
	// handoverAfter is the time from a leader's election until it may hand over to a VM with a
	// larger processor. VMs that started together are registered by then.
	handoverAfter = 3 * time.Second
	// handoverInterval is the shortest time from the previous leader's election to a
	// handover. If a VM with a larger processor did not win the last election, it may be too
	// slow to win one at all.
	handoverInterval = 30 * time.Second
)

// largestProcessor returns the largest processor among this VM and its peers, in thousandths
// of a core.
func largestProcessor(own int, others []peer) int {
	for _, p := range others {
		own = max(own, p.processor)
	}
	return own
}

// electionDelay returns how much longer a VM waits before it contends for leadership than the
// VM with the largest processor does.
func electionDelay(own, largest int) time.Duration {
	if own <= 0 || largest <= own {
		return 0
	}
	return min(maxElectionDelay, electionDelayStep*time.Duration(largest)/time.Duration(own)-electionDelayStep)
}

// shouldHandOver reports whether a leader should hand over to a VM with a larger processor.
// Led is how long it has led, and sincePrevious how long ago the previous leader was elected.
func shouldHandOver(own, largest int, led, sincePrevious time.Duration) bool {
	return own > 0 && largest*10 >= own*handoverTenths && led >= handoverAfter && sincePrevious >= handoverInterval
}
