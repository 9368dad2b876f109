package ladderconfig

import (
	"time"

	"lacewingladder/laddermodel"
)

// Config is a checked configuration with its exceptions applied.
type Config struct {
	// Zones are the fleet's availability zones, in the order of the document.
	Zones []Zone
	// Members holds the companies that share the fleet, by name.
	Members map[string]Member
	// Classes holds the classes of urgent requests by name.
	Classes map[string]Class
	// Teams holds the teams that submit jobs, by name.
	Teams  map[string]Team
	Limits Limits
	// Drained is true for the names of workers that get no new work.
	Drained map[string]bool
	// Exceptions lists the exceptions of the document for operators. Their effects
	// are already included in the other fields.
	Exceptions []Exception
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
	Racks  []Rack
}

// Rack is a group of workers that are likely to fail together.
type Rack struct {
	Name string
	// Seats is the number of workers for which the rack is configured. It does not
	// change when workers come and go.
	Seats int
}

// Member is one of the companies that share the fleet.
type Member struct {
	Name string
	// MaxTasksPerJob is the largest number of tasks that one job may have.
	MaxTasksPerJob int
}

// Class is a class of urgent requests.
type Class struct {
	Name   string
	Member string
	Size   laddermodel.Size
	// Deadline applies to a request that states no deadline, and is the longest
	// deadline that a request may state.
	Deadline time.Duration
	// Estimate is the expected run time of a request.
	Estimate time.Duration
	// StartTimeout is the time within which a worker must accept a start. After that, the
	// attempt is given up.
	StartTimeout time.Duration
	// RunOnce is true if a request must not run twice. Callers must then send an
	// idempotency key.
	RunOnce bool
	// CrossRegion is true if a request may run in another region.
	CrossRegion bool
	// Policy is the name of the placement policy by which a holder, which is an entry
	// VM with claims on workers, picks a worker for a request.
	Policy string
}

// Team is a group of a member's users that share a quota.
type Team struct {
	Name   string
	Member string
	// Quota is the largest number of slots that the team's tasks may use at once.
	Quota int
	// Weight is the team's relative share of the slots when teams compete for them.
	Weight int
}

// Limits are the limits that apply to the whole fleet.
type Limits struct {
	// ClaimLease is how long an entry VM's claim on a worker lasts without a renewal.
	ClaimLease time.Duration
	// KeyHorizon is how long after the creation of an idempotency key callers may
	// send requests with it.
	KeyHorizon time.Duration
	// MaxBodyBytes is the size of the largest accepted request body, in bytes.
	MaxBodyBytes int64
	// RetryRatio is the average number of retries that each request may cause: 0.1
	// allows one retry for every ten requests.
	RetryRatio float64
	// CrossRegionBytesPerSecond limits the data that an entry VM may send to other
	// regions on behalf of requests.
	CrossRegionBytesPerSecond int64
	// JobPolicy is the name of the placement policy by which holders pick workers for
	// jobs.
	JobPolicy string
	// TaskLease is how long a task of a job keeps running when its lease is not
	// renewed.
	TaskLease time.Duration
}

// Exception is one deviation from the defaults.
type Exception struct {
	// Target is the kind and name of the changed object, such as worker/NAME.
	Target string
	// Setting is the name of the setting that changes.
	Setting string
	Value   string
	Reason  string
}

// Class returns the class with the given name.
func (c *Config) Class(name string) (Class, bool) {
	class, ok := c.Classes[name]
	return class, ok
}

// Team returns the team with the given name.
func (c *Config) Team(name string) (Team, bool) {
	team, ok := c.Teams[name]
	return team, ok
}

// SeatsByRack returns the number of seats of each rack, by the rack's name.
func (c *Config) SeatsByRack() map[string]int {
	seats := map[string]int{}
	for _, z := range c.Zones {
		for _, r := range z.Racks {
			seats[r.Name] = r.Seats
		}
	}
	return seats
}

// ZoneOfRack returns the name of the zone that contains the rack, or an empty string
// if there is no such rack.
func (c *Config) ZoneOfRack(rack string) string {
	for _, z := range c.Zones {
		for _, r := range z.Racks {
			if r.Name == rack {
				return z.Name
			}
		}
	}
	return ""
}

// LargestSize returns the largest value of each resource over all given workers. A
// task that needs more of any resource can never run.
func LargestSize(workers []laddermodel.Worker) laddermodel.Size {
	var largest laddermodel.Size
	for _, w := range workers {
		largest.Slots = max(largest.Slots, w.Size.Slots)
		largest.Millicores = max(largest.Millicores, w.Size.Millicores)
		largest.Memory = max(largest.Memory, w.Size.Memory)
		largest.Accelerators = max(largest.Accelerators, w.Size.Accelerators)
	}
	return largest
}

// Version is an accepted configuration as it is stored in the platform's store.
type Version struct {
	// Number increases by one with each accepted change.
	Number uint64
	// ChangeID is the ID of the change, chosen by the operator who applies it.
	ChangeID string
	// Operator is the name of the operator who applied the change.
	Operator string
	// Document is the YAML text of the configuration.
	Document string
}
