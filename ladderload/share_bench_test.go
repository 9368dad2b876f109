package ladderload

import (
	"testing"

	"lacewingladder/ladderplan"
)

// BenchmarkTeams simulates the grown load without teams and as sent by 140 of them.
func BenchmarkTeams(b *testing.B) {
	for name, teams := range map[string]int{"none": 0, "140": 140} {
		b.Run(name, func(b *testing.B) {
			l := teamLoad(b, teams)
			for b.Loop() {
				r := Simulate(l, 1, ladderplan.ByObjective)
				b.ReportMetric(r.EarnedShare, "worth")
			}
		})
	}
}
