package laddervm

import (
	"sync"

	"lacewingladder/laddercodec"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

// maxBases is the number of earlier versions of the configuration that are kept, from which
// differences can be sent.
const maxBases = 3

// fleetState is what a VM knows of the operators' keys, for itself and for its peers. It is
// safe for concurrent use.
type fleetState struct {
	mu sync.Mutex
	// revision is the store's revision up to which the state is complete, or zero if there is
	// no state.
	revision int64
	// current is the configuration in force, and bases holds earlier ones, the latest first.
	current fleetVersion
	bases   []fleetVersion
	// items holds all other items by key.
	items map[string]platform.Item
	// deltas holds the encoded differences to the current configuration, by the revision from
	// which they lead; zero stands for the whole.
	deltas map[int64][]byte
}

// fleetVersion is a configuration and its revision in the store.
type fleetVersion struct {
	fleet    *ladderflow.FleetConfig
	revision int64
}

// isNew reports whether an item is not known, or known at an earlier revision.
func (s *fleetState) isNew(item platform.Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item.Key == platform.FleetKey {
		return item.ModRevision > s.current.revision
	}
	return item.ModRevision > s.items[item.Key].ModRevision
}

// fleetRevision returns the revision of the configuration, or zero.
func (s *fleetState) fleetRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.revision
}

// setFleet sets the configuration.
func (s *fleetState) setFleet(f *ladderflow.FleetConfig, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.fleet != nil {
		s.bases = append([]fleetVersion{s.current}, s.bases[:min(len(s.bases), maxBases-1)]...)
	}
	s.current, s.deltas = fleetVersion{f, revision}, map[int64][]byte{}
}

// setItem sets an item other than the configuration.
func (s *fleetState) setItem(item platform.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		s.items = map[string]platform.Item{}
	}
	s.items[item.Key] = item
}

// publish sets the revision up to which the state is complete.
func (s *fleetState) publish(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

// reply returns the state for a peer that has the configuration of revision have.
func (s *fleetState) reply(have int64) (laddermessage.FleetState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := laddermessage.FleetState{Revision: s.revision, FleetRevision: s.current.revision}
	for _, item := range s.items {
		m.Items = append(m.Items, item)
	}
	if s.current.fleet == nil || have == s.current.revision {
		m.Base = have
		return m, nil
	}
	delta := s.current.fleet.Whole()
	for _, b := range s.bases {
		if b.revision != have {
			continue
		}
		if d, ok := s.current.fleet.Diff(b.fleet); ok {
			delta, m.Base = d, have
		}
	}
	var err error
	if m.Delta = s.deltas[m.Base]; m.Delta == nil {
		if m.Delta, err = laddercodec.EncodeDelta(delta); err == nil {
			s.deltas[m.Base] = m.Delta
		}
	}
	return m, err
}
