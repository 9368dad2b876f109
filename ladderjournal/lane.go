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
// returns [ErrSuperseded] if the leader's term is over. After another error, each record may be stored, or may be
// stored later unless Commit succeeds before.
func (p *ProgressWriter) Commit(ctx context.Context, records []ladderplan.Record, size int) error {
	var chunks [][]platform.Write
	for len(records) > 0 {
		n := min(len(records), size)
		var writes []platform.Write
		for _, r := range records[:n] {
			value, err := EncodeRecord(r)
			if err != nil {
				return err
			}
			writes = append(writes, platform.Write{Key: recordPrefix + r.Job, Value: value})
		}
		chunks, records = append(chunks, writes), records[n:]
	}
	// A record must not be written in one lane while an earlier one of its job may take effect in another.
	rest, err := p.settleLanes(ctx, chunks)
	for len(rest) > 0 && err == nil {
		n := min(len(rest), recordLanes)
		err = p.writeLanes(ctx, rest[:n])
		rest = rest[n:]
	}
	return err
}

// settleLanes writes in the lanes that are not settled, so that no earlier transaction there can take effect any more.
// It returns the chunks that are left to write.
func (p *ProgressWriter) settleLanes(ctx context.Context, chunks [][]platform.Write) ([][]platform.Write, error) {
	var unsettled []int
	for i := range p.lanes {
		if p.lanes[i].unsettled {
			unsettled = append(unsettled, i)
		}
	}
	if len(unsettled) == 1 && len(chunks) > 0 {
		return chunks[1:], p.writeLane(ctx, unsettled[0], chunks[0])
	}
	for _, i := range unsettled {
		if err := p.writeLane(ctx, i, nil); err != nil {
			return nil, err
		}
	}
	return chunks, nil
}

// writeLanes writes each chunk in a lane of its own.
func (p *ProgressWriter) writeLanes(ctx context.Context, chunks [][]platform.Write) error {
	failures := make([]error, len(chunks))
	var wait sync.WaitGroup
	for i, c := range chunks {
		write := func() { failures[i] = p.writeLane(ctx, i, c) }
		if p.sequential || len(chunks) == 1 {
			write()
			continue
		}
		wait.Go(write)
	}
	wait.Wait()
	return errors.Join(failures...)
}

// writeLane writes in one lane.
func (p *ProgressWriter) writeLane(ctx context.Context, i int, writes []platform.Write) error {
	l := &p.lanes[i]
	err := p.write(ctx, laneKey(i), &l.order, writes)
	l.unsettled = err != nil
	return err
}
