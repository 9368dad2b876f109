package ladderflow

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
)

// Team is a group of callers that shares keys, a quota and a share of the fleet.
type Team struct {
	Name string
	// Keys holds the hashes of the keys with which the team's callers identify themselves.
	Keys []KeyHash
	// Weight is the team's share of the fleet under contention, relative to the weights of the other
	// teams. It is also the number of jobs per second that the team may submit under contention.
	Weight float64
	// Quota is the amount of each resource that the team's runs may occupy at the same time, over all
	// workers. An amount of zero means that there is no limit.
	Quota Size
}

// KeyHash is the SHA-256 hash of a caller's key. The key itself is never kept, so that nothing that is
// logged, sent or dumped reveals it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the first four bytes of the hash in hexadecimal, which identify the key in logs.
func (h KeyHash) String() string { return hex.EncodeToString(h[:4]) }

// Format writes the same with any verb, so that nothing prints the whole hash.
func (h KeyHash) Format(s fmt.State, _ rune) { _, _ = io.WriteString(s, h.String()) }

// Format writes a summary with any verb. The default form contains the whole hashes of all keys.
func (f *FleetConfig) Format(s fmt.State, _ rune) {
	_, _ = fmt.Fprintf(s, "configuration %d (%d queues, %d teams)", f.Version, len(f.Queues), len(f.Teams))
}

// equal reports whether two teams have the same fields.
func (t *Team) equal(o *Team) bool {
	return t.Name == o.Name && t.Weight == o.Weight && t.Quota == o.Quota && slices.Equal(t.Keys, o.Keys)
}

// Team returns the team with the given name.
func (f *FleetConfig) Team(name string) (*Team, bool) {
	f.indexOnce.Do(f.buildIndex)
	i, ok := f.teamByName[name]
	if !ok {
		return nil, false
	}
	return &f.Teams[i], true
}

// TeamOfKey returns the team that has the key with the given hash.
func (f *FleetConfig) TeamOfKey(h KeyHash) (*Team, bool) {
	f.indexOnce.Do(f.buildIndex)
	i, ok := f.teamByKey[h]
	if !ok {
		return nil, false
	}
	return &f.Teams[i], true
}

// indexTeams fills the maps that Team and TeamOfKey read. Of teams with the same name, the first counts. A key
// that two teams have belongs to neither, since its callers can't be told apart.
func (f *FleetConfig) indexTeams() {
	f.teamByName, f.teamByKey = make(map[string]int, len(f.Teams)), make(map[KeyHash]int, len(f.Teams))
	shared := map[KeyHash]bool{}
	for i := range f.Teams {
		t := &f.Teams[i]
		if _, ok := f.teamByName[t.Name]; ok {
			continue
		}
		f.teamByName[t.Name] = i
		for _, h := range t.Keys {
			if other, ok := f.teamByKey[h]; ok && other != i {
				shared[h] = true
			}
			f.teamByKey[h] = i
		}
	}
	for h := range shared {
		delete(f.teamByKey, h)
	}
}
