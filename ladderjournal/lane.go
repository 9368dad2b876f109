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
	// unsettled is true if a transaction of the lane may take effect yet. The next one in the lane that succeeds
	// prevents that.
	unsettled bool
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
	var chunks []chunk
	for len(records) > 0 {
		n := min(len(records), size)
		var writes []platform.Write
		for _, r := range records[:n] {
			value, err := EncodeRecord(r)
			if err != nil {
				return records, err
			}
			writes = append(writes, platform.Write{Key: recordPrefix + r.Job, Value: value})
		}
		chunks, records = append(chunks, chunk{records[:n], writes}), records[n:]
	}
	// A record must not be written in one lane while an earlier one of its job may take effect in another.
	rest, err := p.settleLanes(ctx, chunks)
	for len(rest) > 0 && err == nil {
		n := min(len(rest), recordLanes)
		var failed []ladderplan.Record
		failed, err = p.writeLanes(ctx, rest[:n])
		missing, rest = append(missing, failed...), rest[n:]
	}
	for _, c := range rest {
		missing = append(missing, c.records...)
	}
	return missing, err
}

// chunk is a set of records that one transaction writes.
type chunk struct {
	records []ladderplan.Record
	writes  []platform.Write
}

// settleLanes writes in the lanes that are not settled, so that no earlier transaction there can take effect any more.
// It returns the chunks that are left to write.
func (p *ProgressWriter) settleLanes(ctx context.Context, chunks []chunk) ([]chunk, error) {
	var unsettled []int
	for i := range p.lanes {
		if p.lanes[i].unsettled {
			unsettled = append(unsettled, i)
		}
	}
	if len(unsettled) == 1 && len(chunks) > 0 {
		if err := p.writeLane(ctx, unsettled[0], chunks[0].writes); err != nil {
			return chunks, err
		}
		return chunks[1:], nil
	}
	for _, i := range unsettled {
		if err := p.writeLane(ctx, i, nil); err != nil {
			return chunks, err
		}
	}
	return chunks, nil
}

// writeLanes writes each chunk in a lane of its own. It returns the records that may not be stored.
func (p *ProgressWriter) writeLanes(ctx context.Context, chunks []chunk) (missing []ladderplan.Record, err error) {
	failures := make([]error, len(chunks))
	var wait sync.WaitGroup
	for i, c := range chunks {
		write := func() { failures[i] = p.writeLane(ctx, i, c.writes) }
		if p.sequential || len(chunks) == 1 {
			write()
			continue
		}
		wait.Go(write)
	}
	wait.Wait()
	for i, err := range failures {
		if err != nil {
			missing = append(missing, chunks[i].records...)
		}
	}
	return missing, errors.Join(failures...)
}

// writeLane writes in one lane.
func (p *ProgressWriter) writeLane(ctx context.Context, i int, writes []platform.Write) error {
	l := &p.lanes[i]
	err := p.write(ctx, laneKey(i), &l.order, writes)
	l.unsettled = err != nil
	return err
}
