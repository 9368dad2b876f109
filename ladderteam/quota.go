package ladderteam

import (
	"fmt"

	"lacewingladder/ladderflow"
)

// Standing is what counts against a team's quota.
type Standing struct {
	// Quota is the team's quota. An amount of zero means that there is no limit.
	Quota ladderflow.Size
	// Used is what the team is known to have running, and Assumed the most that it may have running besides.
	Used    ladderflow.Size
	Assumed ladderflow.Size
	// Kept is what is kept free for work of the team whose turn it is.
	Kept ladderflow.Size
}

// MoreRuns returns how many more runs of the given size the quota allows, up to limit. It allows none while
// the team exceeds its quota of any resource, whether or not the runs need that resource.
func (s Standing) MoreRuns(need ladderflow.Size, limit int) int {
	n := moreOf(s.Quota.Processor, s.Used.Processor+s.Assumed.Processor, s.Kept.Processor, need.Processor, limit)
	n = moreOf(s.Quota.Memory, s.Used.Memory+s.Assumed.Memory, s.Kept.Memory, need.Memory, n)
	n = moreOf(s.Quota.Accelerators, s.Used.Accelerators+s.Assumed.Accelerators, s.Kept.Accelerators, need.Accelerators, n)
	return max(n, 0)
}

// moreOf returns how many more runs the quota of one resource allows, up to limit.
func moreOf(quota, taken, kept, need, limit int) int {
	switch {
	case quota == 0:
		return limit
	case taken > quota:
		return 0
	case need == 0:
		return limit
	}
	return min(limit, max(0, quota-taken-kept)/need)
}

// UnderHalf reports whether the team is known to use less than half of its quota of each resource.
func (s Standing) UnderHalf() bool {
	return under(2*s.Used.Processor, s.Quota.Processor) && under(2*s.Used.Memory, s.Quota.Memory) &&
		under(2*s.Used.Accelerators, s.Quota.Accelerators)
}

func under(amount, quota int) bool { return quota == 0 || amount < quota }

// String returns the use and the quota of each resource that is limited, for logs and explanations.
func (s Standing) String() string {
	text := ""
	for _, r := range [...]struct {
		used, assumed, quota int
		unit                 string
	}{
		{s.Used.Processor, s.Assumed.Processor, s.Quota.Processor, "m"},
		{s.Used.Memory, s.Assumed.Memory, s.Quota.Memory, "MiB"},
		{s.Used.Accelerators, s.Assumed.Accelerators, s.Quota.Accelerators, "a"},
	} {
		if r.quota == 0 {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d%s", r.used, r.unit)
		if r.assumed > 0 {
			text += fmt.Sprintf(" and at most %d%s unknown", r.assumed, r.unit)
		}
		text += fmt.Sprintf(" of %d%s", r.quota, r.unit)
	}
	return text
}

// Unheard describes what a team may have running without its leader's knowledge after a change of leaders.
type Unheard struct {
	// Capacity is the capacity of the workers that have not reported to the leader, apart from what it knows
	// to run there.
	Capacity ladderflow.Size
	// Tasks is the size of the team's tasks that an earlier leader may have started and that are not known to
	// run or to be done. BestEffort is the part of its processor amount that is due to best-effort tasks,
	// which do not count against the capacity of workers.
	Tasks      ladderflow.Size
	BestEffort int
	// TasksIncomplete is true if there may be such tasks that are not in Tasks.
	TasksIncomplete bool
	// Unknown is the most that runs of unknown jobs may occupy on workers that have reported.
	Unknown ladderflow.Size
}

// Most returns an upper bound of what the team has running besides what its leader knows.
func (u Unheard) Most() ladderflow.Size {
	most := u.Capacity
	most.Processor += u.BestEffort
	if !u.TasksIncomplete {
		most = ladderflow.Size{
			Processor: min(most.Processor, u.Tasks.Processor), Memory: min(most.Memory, u.Tasks.Memory),
			Accelerators: min(most.Accelerators, u.Tasks.Accelerators),
		}
	}
	return most.Plus(u.Unknown)
}

// Unit returns what must start together of a step: all members of a gang, or one task.
func Unit(s *ladderflow.Step) ladderflow.Size {
	if !s.Gang {
		return s.Need
	}
	return ladderflow.Size{
		Processor: s.Tasks * s.Need.Processor, Memory: s.Tasks * s.Need.Memory, Accelerators: s.Tasks * s.Need.Accelerators,
	}
}

// NeverFits reports whether a step of a job needs more at once than the team's quota, so that the job could
// never end, and if so, says which one. Steps need not fit beside each other.
func NeverFits(team *ladderflow.Team, job *ladderflow.Job) (reason string, never bool) {
	for i := range job.Steps {
		s := &job.Steps[i]
		if unit := Unit(s); Exceeds(team.Quota, unit) {
			what := "a task"
			if s.Gang {
				what = fmt.Sprintf("the gang of %d tasks", s.Tasks)
			}
			return fmt.Sprintf("step %d: %s needs %v at once; the quota of team %s is %v", i, what, unit, team.Name, team.Quota), true
		}
	}
	return "", false
}

// Exceeds reports whether an amount is over a quota, in which zero means that there is no limit.
func Exceeds(quota, amount ladderflow.Size) bool {
	return Standing{Quota: quota}.MoreRuns(amount, 1) == 0
}
