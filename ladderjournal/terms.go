package ladderjournal

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// termsKey is the key of the terms that may not be over.
const termsKey = "ladder/terms"

// Term identifies a leader's term. The zero value stands for the terms of leaders that are not known.
type Term struct {
	// VM, Incarnation and Address identify the leader's process.
	VM          string
	Incarnation string
	Address     netip.AddrPort
	// Fence is the term's fencing token.
	Fence int64
}

// termWire is the stored form of a term.
type termWire struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation string
	Address     string
	Fence       int64
}

func encodeTerms(terms []Term) ([]byte, error) {
	wire := make([]termWire, len(terms))
	for i, t := range terms {
		wire[i] = termWire{VM: t.VM, Incarnation: t.Incarnation, Fence: t.Fence}
		if t.Address.IsValid() {
			wire[i].Address = t.Address.String()
		}
	}
	return cbor.Marshal(wire)
}

func decodeTerms(data []byte) ([]Term, error) {
	var wire []termWire
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("terms: %w", err)
	}
	terms := make([]Term, len(wire))
	for i, w := range wire {
		terms[i] = Term{VM: w.VM, Incarnation: w.Incarnation, Fence: w.Fence}
		if w.Address == "" {
			continue
		}
		var err error
		if terms[i].Address, err = netip.ParseAddrPort(w.Address); err != nil {
			return nil, fmt.Errorf("terms: %w", err)
		}
	}
	return terms, nil
}

// SaveTerms stores the leader's own term and those of earlier leaders that may still act. A leader does so
// before it renews a lease or orders a start. It returns [ErrSuperseded] if the leader's term is over.
func (p *ProgressWriter) SaveTerms(ctx context.Context, terms []Term) error {
	value, err := encodeTerms(terms)
	if err != nil {
		return err
	}
	return p.write(ctx, rosterOrderKey, &p.rosterOrder, []platform.Write{{Key: termsKey, Value: value}})
}

// SaveRoster stores the workers on which the leader may start tasks, and the terms as SaveTerms does. It
// returns [ErrSuperseded] if the leader's term is over.
func (p *ProgressWriter) SaveRoster(ctx context.Context, workers []ladderflow.Worker, terms []Term) error {
	roster, err := encodeRoster(workers)
	if err != nil {
		return err
	}
	value, err := encodeTerms(terms)
	if err != nil {
		return err
	}
	return p.write(ctx, rosterOrderKey, &p.rosterOrder, []platform.Write{{Key: rosterKey, Value: roster}, {Key: termsKey, Value: value}})
}
