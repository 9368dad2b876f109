package ladderflow

import "time"

// MachineState is what a machine does.
type MachineState string

// The states of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is hardware on which a worker lives.
type Machine struct {
	Name  string
	Pool  string
	State MachineState
	// Worker is the id of the worker that is its present life.
	Worker string
}

// Wave asks that each of some machines has its upkeep in time.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time that the wave may take.
	Within time.Duration
	// AtOnce bounds the machines that are down for the wave at once.
	AtOnce int
}
