package laddervm

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

// TestTeamGauges checks that names of teams can't break the metrics, and that the number of labels is bounded.
func TestTeamGauges(t *testing.T) {
	team := func(name string, configured bool) ladderplan.TeamOverview {
		return ladderplan.TeamOverview{
			Standing: ladderplan.TeamStanding{Team: name, Used: ladderflow.Size{Processor: 1000}, Quota: ladderflow.Size{Processor: 4000}, Waiting: 2},
			Runs:     1, Configured: configured,
		}
	}
	set := metrics.NewSet()
	gauge := func(name string, value float64) { set.NewGauge(name, func() float64 { return value }) }
	writeTeamGauges(gauge, []ladderplan.TeamOverview{
		team(`tailors`, true), team(`a"b\`, true), team("two\nlines", true), team("gone", false), team("gone too", false),
	})
	var b strings.Builder
	set.WritePrometheus(&b)
	for name, line := range map[string]string{
		"used":     `ladder_team_used{team="tailors",resource="processor"} 1000`,
		"quota":    `ladder_team_quota{team="tailors",resource="processor"} 4000`,
		"jobs":     `ladder_team_jobs{team="tailors",state="waiting"} 2`,
		"quote":    `ladder_team_runs{team="a\"b\\"} 1`,
		"new line": `ladder_team_runs{team="two\nlines"} 1`,
		"others":   `ladder_team_runs{team=""} 2`,
	} {
		t.Run(name, func(t *testing.T) { require.Contains(t, b.String(), line+"\n") })
	}
	require.NotContains(t, b.String(), "gone")
	require.NotContains(t, b.String(), `ladder_team_quota{team="tailors",resource="memory"}`)
}
