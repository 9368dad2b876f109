package ladderconfig_test

import (
	"testing"

	"lacewingladder/ladderconfig"
)

// FuzzParse checks that no document makes the reader panic, and that what it
// accepts is complete.
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
			t.Fatal("an error without a text")
		}
	})
}
