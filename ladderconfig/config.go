package ladderconfig

import (
	"time"

	"lacewingladder/laddermodel"
)

// Config is a checked configuration, with its exceptions worked in.
type Config struct {
	// Zones are the cell's zones, in the order of the document.
	Zones []Zone
	// Members are the names of the members, with what each needs.
	Members map[string]Member
	// Classes are the classes of requests.
	Classes map[string]Class
	// Teams are the teams that submit jobs.
	Teams  map[string]Team
	Limits Limits
	// Drained are the workers that get no new work.
	Drained map[string]bool
	// Exceptions are kept for operators to read.
	Exceptions []Exception
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
	Racks  []Rack
}

// Rack is a group of workers that fail together.
type Rack struct {
	Name string
	// Seats is the number of workers that the rack is built for.
	Seats int
}

// Member is a firm of the co-operative.
type Member struct {
	Name string
	// Tasks bounds the tasks of one job.
	Tasks int
}

// Class is a class of urgent requests.
type Class struct {
	Name   string
	Member string
	Size   laddermodel.Size
	// Deadline is the longest and the standard deadline.
	Deadline time.Duration
	// Estimate is the expected run time.
	Estimate time.Duration
	// Share is how long one start may stay unaccepted before it is given up.
	Share time.Duration
	// Once is true when a request must not be repeated and needs a key.
	Once bool
	// Far is true when requests may cross regions.
	Far bool
	// Policy names how a holder picks a worker.
	Policy string
}

// Team is a group of a member's staff that shares a quota.
type Team struct {
	Name   string
	Member string
	// Quota bounds the slots that the team's tasks take at once.
	Quota int
	// Weight is the team's part when teams compete.
	Weight int
}

// Limits are the amounts that hold for the whole cell.
type Limits struct {
	// Lease is the length of a claim on a worker.
	Lease time.Duration
	// Horizon is how long callers may repeat a key.
	Horizon time.Duration
	// Body is the largest request body in bytes.
	Body int64
	// Retries is the number of retries for each request.
	Retries float64
	// Link is the number of bytes a second that an entry VM may send across
	// regions on behalf of requests.
	Link int64
	// Policy names how holders pick workers for batch work.
	Policy string
	// Tasklease is how long a job's task runs without a renewal.
	Tasklease time.Duration
}

// Exception is one deviation from the defaults.
type Exception struct {
	Target string
	Set    string
	Value  string
	Reason string
}

// Class returns a class by name.
func (c *Config) Class(name string) (Class, bool) {
	k, ok := c.Classes[name]
	return k, ok
}

// Team returns a team by name.
func (c *Config) Team(name string) (Team, bool) {
	t, ok := c.Teams[name]
	return t, ok
}

// Seats returns the number of seats of every rack.
func (c *Config) Seats() map[string]int {
	seats := map[string]int{}
	for _, z := range c.Zones {
		for _, r := range z.Racks {
			seats[r.Name] = r.Seats
		}
	}
	return seats
}

// Zone returns the zone of a rack, or an empty string.
func (c *Config) Zone(rack string) string {
	for _, z := range c.Zones {
		for _, r := range z.Racks {
			if r.Name == rack {
				return z.Name
			}
		}
	}
	return ""
}

// Largest returns the largest worker size that any rack could have, as given by
// the listing of workers; a task beyond it can never run.
func Largest(workers []laddermodel.Worker) laddermodel.Size {
	var top laddermodel.Size
	for _, w := range workers {
		top.Slots = max(top.Slots, w.Size.Slots)
		top.Millicores = max(top.Millicores, w.Size.Millicores)
		top.Memory = max(top.Memory, w.Size.Memory)
		top.Accelerators = max(top.Accelerators, w.Size.Accelerators)
	}
	return top
}

// Version is an accepted configuration as it is kept in the platform's store.
type Version struct {
	// Number grows by one with each accepted change.
	Number uint64
	// Change is the id of the change, chosen by who applies it.
	Change string
	// By is who applied the change.
	By string
	// Document is the YAML text.
	Document string
}
