package laddervm

import "time"

const (
	// weakWait is how much longer a VM waits before it contends for the lead for each
	// time that the strongest VM has its processor, and maxWeakWait the most: several
	// answers of the store from another region, so that a strong VM there comes first.
	electionDelayStep = 20 * time.Millisecond
	maxElectionDelay  = 100 * time.Millisecond
	// muchStronger is from how many tenths of the leader's processor on another VM should
	// lead instead. What a leader does grows with the fleet, and VMs differ in size.
	handoverTenths = 15
	// settledLead is how long a leader leads before it hands over to a stronger VM: VMs
	// that began together are registered by then.
	handoverAfter = 3 * time.Second
	// steadyTime is how long after the one before it began a leader keeps the lead at
	// least: a stronger VM that did not take it then may be too slow to win it at all.
	handoverInterval = 30 * time.Second
)

// strongest returns the processor of the strongest of some VMs, in thousandths of a core.
func largestProcessor(own int, others []peer) int {
	for _, p := range others {
		own = max(own, p.processor)
	}
	return own
}

// weakness returns how much later than the strongest VM one contends for the lead.
func electionDelay(own, largest int) time.Duration {
	if own <= 0 || largest <= own {
		return 0
	}
	return min(maxElectionDelay, electionDelayStep*time.Duration(largest)/time.Duration(own)-electionDelayStep)
}

// tooWeak reports whether a leader should hand over to a stronger VM. Led is for how long
// it has led, and before how long ago the leader before it began.
func shouldHandOver(own, largest int, led, before time.Duration) bool {
	return own > 0 && largest*10 >= own*handoverTenths && led >= handoverAfter && before >= handoverInterval
}
