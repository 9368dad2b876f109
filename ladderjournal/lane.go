package ladderjournal

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// recordLanes is the number of transactions with progress that may be in flight. While the store is slow, one at a
// time would store fewer records than a large fleet changes.
const recordLanes = 8

// lane is a sequence of transactions of which each depends on the one before: all change the lane's key, under the
// condition that nothing else has. Transactions of different lanes are independent of each other.
type lane struct {
	// order is the last known revision of the lane's key.
	order int64
	// unsettled holds the jobs whose records a transaction of the lane may store yet. The next one in the lane that
	// succeeds prevents that. Until then, records of these jobs are written in this lane only.
	unsettled map[string]bool
}

// laneKey returns the key of a lane. The first lane's key is the one that builds with a single lane use.
func laneKey(i int) string {
	if i == 0 {
		return recordOrderKey
	}
	return fmt.Sprintf("%s/%d", recordOrderKey, i)
}

// Sequential makes Commit make its transactions one after the other, for simulations.
func (p *ProgressWriter) Sequential() { p.sequential = true }

// Commit stores records, at most size of them in a transaction, which must not be more than [MaxRecords]. It
// returns [ErrSuperseded] if the leader's term is over. After another error, it returns the records that may not be
// stored. They may be stored later, unless a later call stores others of the same jobs.
func (p *ProgressWriter) Commit(ctx context.Context, records []ladderplan.Record, size int) (missing []ladderplan.Record, err error) {
	for len(records) > 0 && err == nil {
		var chunks [recordLanes][]ladderplan.Record
		chunks, records = p.assignLanes(records, size)
		missing, err = p.writeLanes(ctx, chunks)
	}
	return append(missing, records...), err
}

// assignLanes divides records among the lanes and fills the first lanes first. It returns the records for which
// their lanes have no room.
func (p *ProgressWriter) assignLanes(records []ladderplan.Record, size int) (chunks [recordLanes][]ladderplan.Record, rest []ladderplan.Record) {
	owners := map[string]int{}
	for i := range p.lanes {
		for job := range p.lanes[i].unsettled {
			owners[job] = i
		}
	}
	next := 0
	for _, r := range records {
		i, owned := owners[r.Job]
		if !owned {
			for next < recordLanes && len(chunks[next]) == size {
				next++
			}
			i = next
		}
		if i == recordLanes || len(chunks[i]) == size {
			rest = append(rest, r)
			continue
		}
		chunks[i] = append(chunks[i], r)
	}
	return chunks, rest
}

// writeLanes writes each chunk in its lane. It returns the records that may not be stored.
func (p *ProgressWriter) writeLanes(ctx context.Context, chunks [recordLanes][]ladderplan.Record) (missing []ladderplan.Record, err error) {
	var failures [recordLanes]error
	var wait sync.WaitGroup
	for i, c := range chunks {
		if len(c) == 0 {
			continue
		}
		write := func() { failures[i] = p.writeLane(ctx, i, c) }
		if p.sequential {
			write()
			continue
		}
		wait.Go(write)
	}
	wait.Wait()
	for i, err := range failures {
		if err != nil {
			missing = append(missing, chunks[i]...)
		}
	}
	return missing, errors.Join(failures[:]...)
}

// writeLane writes records in one lane.
func (p *ProgressWriter) writeLane(ctx context.Context, i int, records []ladderplan.Record) error {
	var writes []platform.Write
	for _, r := range records {
		value, err := EncodeRecord(r)
		if err != nil {
			return err
		}
		writes = append(writes, platform.Write{Key: recordPrefix + r.Job, Value: value})
	}
	l := &p.lanes[i]
	if err := p.write(ctx, laneKey(i), &l.order, writes); err != nil {
		if l.unsettled == nil {
			l.unsettled = map[string]bool{}
		}
		for _, r := range records {
			l.unsettled[r.Job] = true
		}
		return err
	}
	clear(l.unsettled)
	return nil
}
