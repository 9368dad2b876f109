package ladderjournal

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

const (
	// cordonKey is the key of the cordons of workers.
	cordonKey = "ladder/cordon"
	// cordonOrderKey orders the writes of cordons, as recordOrderKey does those of progress.
	cordonOrderKey = "ladder/cordonorder"
)

// cordonsWire is the stored form of cordons. Fence is the fencing token of the leader that stored them.
type cordonsWire struct {
	_       struct{} `cbor:",toarray"`
	Fence   int64
	Cordons []cordonWire
}

// cordonWire is the stored form of a cordon. A revision of zero stands for that of the key's last change.
type cordonWire struct {
	_        struct{} `cbor:",toarray"`
	Worker   string
	Revision int64
}

// SaveCordons stores the cordons of workers, which replace those before, and returns the revision. It returns
// [ErrSuperseded] if the leader's term is over.
func (p *ProgressWriter) SaveCordons(ctx context.Context, list []ladderplan.Cordon) (int64, error) {
	wire := cordonsWire{Fence: p.leaderRevision}
	for _, c := range list {
		wire.Cordons = append(wire.Cordons, cordonWire{Worker: c.Worker, Revision: c.Revision})
	}
	value, err := cbor.Marshal(wire)
	if err != nil {
		return 0, err
	}
	err = p.write(ctx, cordonOrderKey, &p.cordonOrder, []platform.Write{{Key: cordonKey, Value: value}})
	return p.cordonOrder, err
}

// loadCordons reads the cordons of workers, after the terms. Those of a leader before the last one do not hold: the
// last one may be of a build that does not heed cordons. Cordons that are left out, or can't be decoded, only make
// the leader assume that more may run on workers that do not answer.
func (j *Journal) loadCordons(ctx context.Context, c *Contents) error {
	item, ok, err := j.store.Get(ctx, cordonKey)
	if err != nil || !ok {
		return err
	}
	var wire cordonsWire
	if err := decoder.Unmarshal(item.Value, &wire); err != nil {
		c.DecodeErrors = append(c.DecodeErrors, fmt.Errorf("cordons: %w", err))
		return nil
	}
	if len(c.Terms) == 0 || c.Terms[0].Fence != wire.Fence {
		return nil
	}
	for _, w := range wire.Cordons {
		x := ladderplan.Cordon{Worker: w.Worker, Revision: w.Revision}
		if x.Revision == 0 {
			x.Revision = item.ModRevision
		}
		c.Cordons = append(c.Cordons, x)
	}
	return nil
}
