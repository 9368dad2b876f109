package ladderflow

import "time"

// MachineState is the state that the machine service lists for a machine.
type MachineState string

// The states of a machine that decisions depend on.
const (
	// MachineUp means that the machine runs its worker.
	MachineUp MachineState = "up"
	// MachineMaintenance means that the machine is off for maintenance.
	MachineMaintenance MachineState = "upkeep"
)

// Machine is the hardware that a worker runs on.
type Machine struct {
	Name  string
	Pool  string
	State MachineState
	// Worker is the ID of the machine's current worker. After a restart the machine
	// has a worker with a new ID.
	Worker string
}

// MaintenanceWave is a request to take each of a set of machines down for maintenance
// within a time limit.
type MaintenanceWave struct {
	Number   int64
	Machines []string
	// TimeLimit is the time limit of the whole wave, counted from its start.
	TimeLimit time.Duration
	// MaxDown is the maximum number of machines that may be down for the wave at the
	// same time.
	MaxDown int
}
