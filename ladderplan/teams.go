package ladderplan

import (
	"fmt"
	"strings"
	"time"

	"lacewingladder/ladderflow"
)

// TeamUsed returns what the runs of a team occupy on all workers, as far as the leader knows.
func (p *Planner) TeamUsed(team string) ladderflow.Size { return p.ledger.Used(team) }

// TeamOverview describes what a team has and what it is entitled to.
type TeamOverview struct {
	Standing TeamStanding
	// Runs is the number of runs that count for the team, also of those that are not confirmed or are stopping.
	Runs int
	// Configured is false for a team that the configuration does not have any more, and that has jobs or runs.
	Configured bool
}

// teamOverviews describes all teams.
func (p *Planner) teamOverviews(now time.Time) []TeamOverview {
	var list []TeamOverview
	for _, s := range p.TeamStandings(now) {
		list = append(list, p.teamOverview(s))
	}
	return list
}

func (p *Planner) teamOverview(s TeamStanding) TeamOverview {
	o := TeamOverview{Standing: s, Runs: p.ledger.Runs(s.Team)}
	if p.fleet != nil {
		_, o.Configured = p.fleet.Team(s.Team)
	}
	return o
}

// JobTeam describes the team of a job and the job's place.
type JobTeam struct {
	Team  TeamOverview
	Place JobStanding
}

// jobTeam describes the team of a job, or returns nil if the job has none.
func (p *Planner) jobTeam(now time.Time, j *job) *JobTeam {
	place, ok := p.JobStanding(now, j.spec.ID)
	if !ok {
		return nil
	}
	for _, s := range p.TeamStandings(now) {
		if s.Team == place.Team {
			return &JobTeam{Team: p.teamOverview(s), Place: place}
		}
	}
	return &JobTeam{Team: TeamOverview{Standing: TeamStanding{Team: place.Team}}, Place: place}
}

// String describes the team and the job's place as a line.
func (t *JobTeam) String() string {
	var b strings.Builder
	s := t.Team.Standing
	fmt.Fprintf(&b, "team %s: %d runs use %v, quota %v; %s", s.Team, t.Team.Runs, s.Used, quotaText(s.Quota), s.state())
	if t.Place.BeyondRate {
		b.WriteString("; the job came beyond the team's rate")
	}
	switch n := t.Place.JobsBefore; {
	case n == 1:
		b.WriteString("; 1 job before it")
	case n >= 0:
		fmt.Fprintf(&b, "; %d jobs before it", n)
	}
	return b.String()
}

// state describes how much of its share a team uses.
func (s TeamStanding) state() string {
	switch {
	case s.UsedShare > s.Share && s.Share > 0:
		return fmt.Sprintf("over its share by %.1f", s.UsedShare/s.Share)
	case s.BeyondRate:
		return "beyond its rate"
	case s.BeyondShare:
		return "at its share"
	}
	return "within its share"
}

// quotaText returns a quota as text.
func quotaText(q ladderflow.Size) string {
	if q == (ladderflow.Size{}) {
		return "none"
	}
	return q.String()
}

// writeTeams writes a table of teams.
func writeTeams(b *strings.Builder, teams []TeamOverview) {
	if len(teams) == 0 {
		return
	}
	fmt.Fprintf(b, "%-16s %8s %6s %7s %7s %8s %8s %8s %-22s %-22s %s\n", "team", "weight", "share", "using", "runs", "running", "waiting", "excess",
		"used", "quota", "state")
	for _, t := range teams {
		s := t.Standing
		state := s.state()
		if !t.Configured {
			state += ", not in the configuration"
		}
		fmt.Fprintf(b, "%-16s %8.6g %6.3f %7.3f %7d %8d %8d %8d %-22v %-22v %s\n", s.Team, s.Weight, s.Share, s.UsedShare, t.Runs, s.Running, s.Waiting,
			s.Excess, s.Used, quotaText(s.Quota), state)
	}
}
