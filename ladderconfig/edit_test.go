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
	drain := ladderconfig.Exception{Target: "worker/w1", Set: "drain", Value: "true", Reason: "the fan is loud"}
	tests := map[string]struct {
		document string
		want     int
	}{
		"no list yet":    {document: defaults, want: 1},
		"beside another": {document: defaults + "exceptions:\n  - {target: worker/w2, set: drain, value: true, reason: old}\n", want: 2},
		"in its place":   {document: defaults + "exceptions:\n  - {target: worker/w1, set: drain, value: false, reason: old}\n", want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			out, err := ladderconfig.AddException([]byte(tt.document), drain)
			require.NoError(t, err)
			require.Contains(t, string(out), "# one", "comments are kept")
			c, err := ladderconfig.Parse("f", out)
			require.NoError(t, err)
			require.Len(t, c.Exceptions, tt.want)
			require.True(t, c.Drained["w1"])
			require.Equal(t, drain, c.Exceptions[tt.want-1])
		})
	}
	_, err := ladderconfig.AddException([]byte("[1]"), drain)
	require.Error(t, err)
}
