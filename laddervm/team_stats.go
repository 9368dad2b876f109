package laddervm

import (
	"strings"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

// labelEscaper escapes the characters that end a label's value or its line.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// labelValue returns a name as the value of a label. Names come from the configuration and may have any characters.
func labelValue(name string) string { return labelEscaper.Replace(name) }

// writeTeamGauges writes the gauges of the teams. The label team is bounded by the teams of the configuration: all others
// that have jobs or runs count together, without a name.
func writeTeamGauges(gauge func(name string, value float64), teams []ladderplan.TeamOverview) {
	others, hasOthers := ladderplan.TeamOverview{}, false
	for _, t := range teams {
		if t.Configured {
			writeTeamGauge(gauge, t)
			continue
		}
		hasOthers = true
		s := &others.Standing
		s.Used, s.UsedShare = s.Used.Plus(t.Standing.Used), s.UsedShare+t.Standing.UsedShare
		s.Running, s.Waiting, s.Excess = s.Running+t.Standing.Running, s.Waiting+t.Standing.Waiting, s.Excess+t.Standing.Excess
		others.Runs += t.Runs
	}
	if hasOthers {
		writeTeamGauge(gauge, others)
	}
}

// writeTeamGauge writes the gauges of a team. A limit of zero in the quota, which means none, is left out.
func writeTeamGauge(gauge func(name string, value float64), t ladderplan.TeamOverview) {
	s := t.Standing
	label := `{team="` + labelValue(s.Team) + `"`
	for resource, amount := range resources(s.Used) {
		gauge("ladder_team_used"+label+`,resource="`+resource+`"}`, float64(amount))
	}
	for resource, amount := range resources(s.Quota) {
		if amount > 0 {
			gauge("ladder_team_quota"+label+`,resource="`+resource+`"}`, float64(amount))
		}
	}
	gauge("ladder_team_runs"+label+"}", float64(t.Runs))
	gauge("ladder_team_share"+label+"}", s.Share)
	gauge("ladder_team_used_share"+label+"}", s.UsedShare)
	for state, n := range map[string]int{"running": s.Running, "waiting": s.Waiting, "excess": s.Excess} {
		gauge("ladder_team_jobs"+label+`,state="`+state+`"}`, float64(n))
	}
}

// resources returns the amounts of a size by the name of the resource.
func resources(s ladderflow.Size) map[string]int {
	return map[string]int{"processor": s.Processor, "memory": s.Memory, "accelerators": s.Accelerators}
}
