package ladderjob

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lacewingladder/ladderconfig"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderyaml"
)

// MaxBodyBytes bounds the size in bytes of the body that a job passes to its tasks.
const MaxBodyBytes = 64 << 10

// Job is a job as its member submitted it.
type Job struct {
	ID     string
	Member string
	Team   string
	Kind   laddermodel.Kind
	// Size is what each task needs.
	Size  laddermodel.Size
	Tasks int
	// Estimate is the expected run time of a task, or zero if it is not known.
	Estimate time.Duration
	// Body is passed to each task.
	Body      string
	Submitted time.Time
}

// State is the state of a job. Jobs of this package and of package ladderflow have
// the same states.
type State = ladderflow.State

// The states of a job.
const (
	Queued    = ladderflow.Queued
	Running   = ladderflow.Running
	Done      = ladderflow.Done
	Failed    = ladderflow.Failed
	Cancelled = ladderflow.Cancelled
)

// View is what callers see of a job.
type View struct {
	Job   Job
	State State
	// Reason explains to the caller why the job waits or has failed.
	Reason string
	// Running and Ended are numbers of tasks.
	Running int
	Ended   int
}

// TaskID returns the ID of one attempt to run a task of a job. Tasks are counted
// from 0, attempts from 1.
func TaskID(job string, index, attempt int) string {
	return fmt.Sprintf("%s/%d/%d", job, index, attempt)
}

// ParseTaskID splits an ID made by [TaskID] into its parts. It returns false if the
// ID has another form.
func ParseTaskID(task string) (job string, index, attempt int, ok bool) {
	parts := strings.Split(task, "/")
	if len(parts) != 3 {
		return "", 0, 0, false
	}
	index, errIndex := strconv.Atoi(parts[1])
	attempt, errAttempt := strconv.Atoi(parts[2])
	return parts[0], index, attempt, errIndex == nil && errAttempt == nil && index >= 0
}

// Parse reads a job from YAML or JSON. The error, if any, lists all faults of the
// document.
func Parse(file string, data []byte) (Job, error) {
	r := ladderyaml.Parse(file, data)
	j := Job{
		Member:   r.RequiredKey("member").Text(),
		Team:     r.RequiredKey("team").Text(),
		Size:     ladderconfig.ReadSize(r.RequiredKey("size")),
		Tasks:    r.Key("tasks").WholeNumber(1),
		Estimate: r.Key("estimate").Duration(0),
		Body:     r.Key("body").Text(),
	}
	kind, err := laddermodel.ParseKind(r.RequiredKey("kind").Text())
	if k := r.Key("kind"); k.Present() && (err != nil || kind == laddermodel.Urgent) {
		k.AddFinding("%q is not batch, gang or service", k.Text())
	}
	j.Kind = kind
	if j.Tasks == 0 {
		r.Key("tasks").AddFinding("a job needs at least one task")
	}
	if len(j.Body) > MaxBodyBytes {
		r.Key("body").AddFinding("a body has at most %d bytes", MaxBodyBytes)
	}
	r.CheckUnknownKeys()
	return j, r.Findings().Err()
}

// CheckFeasible returns the reason why a job can never run under a configuration, or
// an empty string if it can run. The argument largest holds, for each resource, the
// largest amount on any worker.
func CheckFeasible(j Job, c *ladderconfig.Config, largest laddermodel.Size) string {
	team, ok := c.Team(j.Team)
	switch {
	case !ok || team.Member != j.Member:
		return fmt.Sprintf("member %q has no team %q", j.Member, j.Team)
	case j.Tasks > c.Members[j.Member].MaxTasksPerJob:
		return fmt.Sprintf("the job has %d tasks; member %q may have %d in a job", j.Tasks, j.Member, c.Members[j.Member].MaxTasksPerJob)
	case !j.Size.Fits(largest):
		return fmt.Sprintf("a task needs %v; the largest worker has %v", j.Size, largest)
	case j.Kind == laddermodel.Gang && j.Size.Times(j.Tasks).Slots > team.Quota:
		return fmt.Sprintf("the gang needs %d slots at once; team %q has a quota of %d",
			j.Size.Times(j.Tasks).Slots, j.Team, team.Quota)
	case j.Size.Slots > team.Quota:
		return fmt.Sprintf("a task needs %d slots; team %q has a quota of %d", j.Size.Slots, j.Team, team.Quota)
	}
	return ""
}
