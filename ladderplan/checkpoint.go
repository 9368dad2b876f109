package ladderplan

import (
	"fmt"

	"lacewingladder/ladderflow"
)

// checkpoint is a checkpoint that a worker has reported, from which a later run can resume.
type checkpoint struct {
	value string
	// run is the number of the run that reported it. For one that was read from the store, which does not
	// hold the number, it is that of the last run that had ended by then.
	run int
}

// restoredCheckpoint returns a checkpoint that was stored when the runs up to the given number had ended.
func restoredCheckpoint(value string, lastClosedRun int) checkpoint {
	if value == "" {
		return checkpoint{}
	}
	return checkpoint{value: value, run: lastClosedRun}
}

// update replaces the checkpoint by one that a worker reports for a run, unless that is empty or one of a
// later run is known: workers list the runs of a task, and their ends, in any order.
func (c *checkpoint) update(value string, run int) {
	if value != "" && run >= c.run {
		*c = checkpoint{value: value, run: run}
	}
}

// recordCheckpoint records a checkpoint that a worker reports for a run of the task.
func (t *task) recordCheckpoint(value string, run int) {
	t.checkpoint.update(value, run)
	t.step.gang.checkpoint.update(value, run)
}

// shownCheckpoint is how many characters of a checkpoint the log shows.
const shownCheckpoint = 8

// String returns the beginning of the checkpoint and the run that it came from, for the log.
func (c checkpoint) String() string {
	if c.value == "" {
		return "nothing"
	}
	return fmt.Sprintf("%.*s of run %d", shownCheckpoint, c.value, c.run)
}

// ResumesFrom returns, for the log, the checkpoint that the start of a run on a worker carried.
func (p *Planner) ResumesFrom(worker string, name ladderflow.Run) string {
	if w, ok := p.workers[worker]; ok {
		if x, ok := w.runs[name]; ok {
			return x.resumesFrom.String()
		}
	}
	return "unknown"
}
