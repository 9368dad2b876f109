package ladderkey

import (
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
)

// MaxLen is the longest key that is accepted, in bytes.
const MaxLen = 128

// Skew bounds the difference between the wall clocks of any two entry VMs. A
// key that was minted more than this ahead of an entry VM's clock is refused.
const Skew = time.Second

// Zone is a zone with its racks, for finding a key's home.
type Zone struct {
	Name  string
	Racks []string
}

// Mint returns a new key whose home is in the given zone.
func Mint(now time.Time, zone string, entropy io.Reader) (string, error) {
	id, err := ulid.New(ulid.Timestamp(now), entropy)
	if err != nil {
		return "", err
	}
	return zone + "." + id.String(), nil
}

// Minted returns the time at which a key was made by [Mint], or as a bare ULID.
// It is false for all other keys.
func Minted(key string) (time.Time, bool) {
	id, err := ulid.ParseStrict(key[strings.LastIndexByte(key, '.')+1:])
	if err != nil {
		return time.Time{}, false
	}
	return ulid.Time(id.Time()), true
}

// Rack returns the home rack of a key, or an empty string when there are no
// racks. A key that begins with a zone's name and a dot stays in that zone.
func Rack(key string, zones []Zone) string {
	for _, z := range zones {
		if strings.HasPrefix(key, z.Name+".") {
			return Highest(key, z.Racks)
		}
	}
	var racks []string
	for _, z := range zones {
		racks = append(racks, z.Racks...)
	}
	return Highest(key, racks)
}

// Highest returns the name that rendezvous hashing gives to a key, or an empty
// string when there are no names.
func Highest(key string, names []string) string {
	found, top := "", uint64(0)
	for _, n := range names {
		score := xxhash.Sum64String(n + "\x00" + key)
		if found == "" || score > top || (score == top && n < found) {
			found, top = n, score
		}
	}
	return found
}
