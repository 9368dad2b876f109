package ladderload

import (
	"testing"
	"time"

	"lacewingladder/ladderplan"
)

// BenchmarkTeams simulates thirty seconds of the load of the large fleet without teams and as sent by 140 of them.
func BenchmarkTeams(b *testing.B) {
	for name, teams := range map[string]int{"none": 0, "140": 140} {
		b.Run(name, func(b *testing.B) {
			l := readExample(b, "jadewing", "large.yaml")
			l.ArrivalPeriod, l.ExtraTime = 30*time.Second, 0
			l.addTeams(teams)
			for b.Loop() {
				r := Simulate(l, 1, ladderplan.ByObjective)
				b.ReportMetric(r.EarnedShare, "worth")
			}
		})
	}
}
