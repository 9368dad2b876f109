package ladderconfig_test

import (
	"testing"

	"lacewingladder/ladderconfig"
)

// FuzzParse checks that no document makes [ladderconfig.Parse] panic, that an
// accepted configuration has zones and members, and that errors have a text.
func FuzzParse(f *testing.F) {
	f.Add([]byte("defaults:\n  zones: [{name: z, region: r, racks: [{name: k, seats: 1}]}]\n  members: {m: {}}\n"))
	f.Add([]byte("exceptions:\n  - {target: worker/w, set: drain, value: true, reason: broken}\n"))
	f.Add([]byte("defaults: &a {zones: *a}"))
	f.Add([]byte("defaults: [[[["))
	f.Add([]byte("\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ladderconfig.Parse("f", data)
		if err == nil && (len(c.Zones) == 0 || len(c.Members) == 0) {
			t.Fatalf("accepted a configuration without zones or members: %q", data)
		}
		if err != nil && err.Error() == "" {
			t.Fatal("error has no text")
		}
	})
}
