package ladderkey

import (
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
)

// MaxKeyBytes is the largest number of bytes in a key.
const MaxKeyBytes = 128

// MaxClockSkew bounds the difference between the wall clocks of any two entry
// VMs. An entry VM refuses a key whose time is more than this ahead of its own
// clock.
const MaxClockSkew = time.Second

// Zone is a zone and its racks. [HomeRack] finds the home rack of a key among
// them.
type Zone struct {
	Name  string
	Racks []string
}

// Mint returns a new key whose home rack is in the given zone. The key consists
// of the zone's name, a dot and a ULID that contains the current time.
func Mint(now time.Time, zone string, entropy io.Reader) (string, error) {
	id, err := ulid.New(ulid.Timestamp(now), entropy)
	if err != nil {
		return "", err
	}
	return zone + "." + id.String(), nil
}

// MintTime returns the time in a key that was made by [Mint] or that is a ULID
// without a zone. It returns false for all other keys.
func MintTime(key string) (time.Time, bool) {
	id, err := ulid.ParseStrict(key[strings.LastIndexByte(key, '.')+1:])
	if err != nil {
		return time.Time{}, false
	}
	return ulid.Time(id.Time()), true
}

// HomeRack returns the home rack of a key, or an empty string if there are no
// racks. The home rack of a key that begins with a zone's name and a dot is in
// that zone.
func HomeRack(key string, zones []Zone) string {
	for _, z := range zones {
		if strings.HasPrefix(key, z.Name+".") {
			return RendezvousHash(key, z.Racks)
		}
	}
	var racks []string
	for _, z := range zones {
		racks = append(racks, z.Racks...)
	}
	return RendezvousHash(key, racks)
}

// RendezvousHash returns the name that rendezvous hashing assigns to a key: the
// one whose hash together with the key is highest. It returns an empty string
// if there are no names.
func RendezvousHash(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range names {
		score := xxhash.Sum64String(n + "\x00" + key)
		if best == "" || score > bestScore || (score == bestScore && n < best) {
			best, bestScore = n, score
		}
	}
	return best
}
