package ladderflow

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHashesAreNotPrinted prints teams and configurations in all ways. At most four bytes of a key's hash may show.
func TestHashesAreNotPrinted(t *testing.T) {
	h := HashKey("key")
	team := Team{Name: "a", Keys: []KeyHash{h}}
	f := &FleetConfig{Version: 7, KeysRequired: true, Teams: []Team{team}}
	_, ok := f.TeamOfKey(h) // The index holds hashes too.
	require.True(t, ok)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%x", "%X", "%d", "%q"} {
		for _, value := range []any{h, &h, team, &team, f, []KeyHash{h}, map[KeyHash]int{h: 1}, struct{ F *FleetConfig }{f}} {
			printed := strings.ToLower(fmt.Sprintf(verb, value))
			require.NotContains(t, printed, hex.EncodeToString(h[:5]), verb)
			require.NotContains(t, printed, hex.EncodeToString([]byte(hex.EncodeToString(h[:5]))), verb)
			require.NotContains(t, printed, fmt.Sprintf("%d %d", h[4], h[5]), verb)
			require.NotContains(t, printed, fmt.Sprintf("%#x, %#x", h[4], h[5]), verb)
		}
	}
}

func TestCancellation(t *testing.T) {
	of := func(teams ...string) Cancellation { return Cancellation{Job: "j", Teams: teams} }
	for name, c := range map[string]struct {
		cancellation Cancellation
		team         string
		want         bool
	}{
		"anybody's":                         {of(), "a", true},
		"its team's":                        {of("a"), "a", true},
		"its team's among others":           {of("b", "a"), "a", true},
		"another team's":                    {of("b"), "a", false},
		"nobody's for a team's job":         {of(""), "a", false},
		"another team's for nobody's":       {of("b"), "", true},
		"its team's after another's":        {of("b").Union(of("a")), "a", true},
		"another's twice":                   {of("b").Union(of("b")), "a", false},
		"anybody's after another's":         {of("b").Union(of()), "a", true},
		"another's after anybody's":         {of().Union(of("b")), "a", true},
		"nobody's and another's for a team": {of("").Union(of("b")), "a", false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.cancellation.Cancels(&Job{ID: "j", Team: c.team})) })
	}
}
