package ladderconfig_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderconfig"
)

func TestExamplesAreValid(t *testing.T) {
	for _, file := range []string{"../examples/jadewing/fleet.yaml", "../examples/bureau/fleet.yaml"} {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		c, err := ladderconfig.Parse(file, data)
		require.NoError(t, err)
		require.Len(t, c.Zones, 3)
		require.Len(t, c.SeatsByRack(), 6)
		billing, _ := c.Class("billing")
		require.Equal(t, 8*time.Second, billing.Deadline, "the exception must be applied")
	}
}

func TestFindings(t *testing.T) {
	const good = `defaults:
  zones: [{name: z, region: r, racks: [{name: k, seats: 1}]}]
  members: {m: {}}
  classes:
    c: {member: m, size: {slots: 1}}
  teams:
    t: {member: m, quota: 4}
`
	tests := map[string]struct {
		document string
		want     []string
	}{
		"good": {document: good},
		"several findings": {
			document: strings.NewReplacer("slots: 1", "slots: few, memory: 2GB", "quota: 4", "quota: 4, colour: red").Replace(good),
			want: []string{
				`f:5:34: defaults.classes.c.size.slots: "few" is not a whole number`,
				`f:5:47: defaults.classes.c.size.memory: "2GB" is not an amount such as 256MiB or 4KiB`,
				`f:7:38: defaults.teams.t.colour: this key is unknown`,
			},
		},
		"exception without reason": {
			document: good + "exceptions:\n  - {target: team/t, set: quota, value: 9, reason: ' '}\n",
			want:     []string{"f:9:5: exceptions[0]: an exception needs a written reason"},
		},
		"no zone":             {document: "defaults:\n  members: {m: {}}\n", want: []string{`f:2:3: defaults: the key "zones" is missing`}},
		"unknown target":      {document: good + "exceptions:\n  - {target: team/x, set: quota, value: 9, reason: more}\n", want: []string{`f:9:14: exceptions[0].target: team "x" is not in the defaults`}},
		"duplicate key":       {document: good + "defaults: {}\n", want: []string{`f:8:1: key "defaults" is given twice`}},
		"syntax error":        {document: "defaults:\n\t- x\n", want: []string{"f:2:1: found character that cannot start any token"}},
		"tasklease too short": {document: strings.Replace(good, "defaults:", "defaults:\n  limits: {tasklease: 4s}", 1), want: []string{"f:2:23: defaults.limits.tasklease: tasks must outlast two claims of 3s, or a takeover stops them"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ladderconfig.Parse("f", []byte(tt.document))
			if tt.want == nil {
				require.NoError(t, err)
				return
			}
			require.EqualError(t, err, strings.Join(tt.want, "\n"))
		})
	}
}
