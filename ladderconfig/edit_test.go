package ladderconfig_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderconfig"
)

func TestAddException(t *testing.T) {
	const defaults = `# the fleet
defaults:
  zones: [{name: z, region: r, racks: [{name: k, seats: 1}]}] # one
  members: {m: {}}
`
	drain := ladderconfig.Exception{Target: "worker/w1", Setting: "drain", Value: "true", Reason: "the fan is loud"}
	tests := map[string]struct {
		document       string
		wantExceptions int
	}{
		"no exceptions yet":             {document: defaults, wantExceptions: 1},
		"empty key":                     {document: defaults + "exceptions:\n", wantExceptions: 1},
		"empty list":                    {document: defaults + "exceptions: []\n", wantExceptions: 1},
		"exception for another worker":  {document: defaults + "exceptions:\n  - {target: worker/w2, set: drain, value: true, reason: old}\n", wantExceptions: 2},
		"exception for the same target": {document: defaults + "exceptions:\n  - {target: worker/w1, set: drain, value: false, reason: old}\n", wantExceptions: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			out, err := ladderconfig.AddException([]byte(tt.document), drain)
			require.NoError(t, err)
			require.Contains(t, string(out), "# one", "comments must be kept")
			c, err := ladderconfig.Parse("f", out)
			require.NoError(t, err)
			require.Len(t, c.Exceptions, tt.wantExceptions)
			require.True(t, c.Drained["w1"])
			require.Equal(t, drain, c.Exceptions[tt.wantExceptions-1])
		})
	}
	for _, invalid := range []string{"[1]", defaults + "exceptions: none\n"} {
		_, err := ladderconfig.AddException([]byte(invalid), drain)
		require.Error(t, err)
	}
}
