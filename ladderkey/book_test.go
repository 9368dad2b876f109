package ladderkey_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderkey"
	"lacewingladder/laddermodel"
)

const horizon = 12 * time.Second

var start = time.Unix(1_800_000_000, 0)

// mintKey returns a key that was made at the given time.
func mintKey(t *testing.T, at time.Time) string {
	t.Helper()
	key, err := ladderkey.Mint(at, "z", strings.NewReader("0123456789"))
	require.NoError(t, err)
	return key
}

func TestBeginUnknownKey(t *testing.T) {
	tests := map[string]struct {
		key   string
		after time.Duration
		want  ladderkey.Action
	}{
		"home is newer than a horizon": {key: "k", after: horizon - 1, want: ladderkey.Unconfirmed},
		"home is one horizon old":      {key: "k", after: horizon, want: ladderkey.Run},
		"made after the home began":    {key: mintKey(t, start.Add(3*time.Second)), after: 4 * time.Second, want: ladderkey.Run},
		"made within the clock skew":   {key: mintKey(t, start.Add(2*time.Second)), after: 3 * time.Second, want: ladderkey.Unconfirmed},
		"made before the home began":   {key: mintKey(t, start.Add(-time.Second)), after: time.Second, want: ladderkey.Unconfirmed},
		"made more than a horizon ago": {key: mintKey(t, start), after: horizon + time.Second, want: ladderkey.Unconfirmed},
		"made exactly one horizon ago": {key: mintKey(t, start), after: horizon, want: ladderkey.Run},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := ladderkey.NewBook(horizon)
			v := b.Begin(start.Add(tt.after), ladderclaim.Home{Rack: "r", Since: start}, ladderkey.KeyUse{Key: tt.key, Rack: "r"})
			require.Equal(t, tt.want, v.Action, v.Reason)
		})
	}
}

func TestRepeatedKey(t *testing.T) {
	home := ladderclaim.Home{Rack: "r", Since: start.Add(-time.Hour)}
	ran := laddermodel.Answer{Outcome: laddermodel.Ran, Body: []byte("yes")}
	use := ladderkey.KeyUse{Key: "k", Rack: "r", Member: "m", Digest: 1, Once: true, Lease: time.Second}
	repeatable := use
	repeatable.Once = false
	otherMember := use
	otherMember.Member = "n"
	otherBody := use
	otherBody.Digest = 2
	tests := map[string]struct {
		first  ladderkey.KeyUse
		end    *laddermodel.Answer
		second ladderkey.KeyUse
		after  time.Duration
		want   ladderkey.Action
	}{
		"while it runs":                                {first: use, second: use, want: ladderkey.Wait},
		"after it ran, answer is kept":                 {first: use, end: &ran, second: use, want: ladderkey.Done},
		"from another member":                          {first: use, end: &ran, second: otherMember, want: ladderkey.Conflict},
		"with another body":                            {first: use, second: otherBody, want: ladderkey.Conflict},
		"after it did not run":                         {first: use, end: &laddermodel.Answer{Outcome: laddermodel.NotRun}, second: use, want: ladderkey.Run},
		"after it may have run":                        {first: use, end: &laddermodel.Answer{}, second: use, after: horizon, want: ladderkey.Done},
		"repeatable, while it may be running":          {first: repeatable, end: &laddermodel.Answer{}, second: repeatable, after: time.Second, want: ladderkey.Unconfirmed},
		"repeatable, when it can no longer be running": {first: repeatable, end: &laddermodel.Answer{}, second: repeatable, after: 1021 * time.Millisecond, want: ladderkey.Run},
		"after its record was removed":                 {first: use, end: &ran, second: use, after: 2*horizon + time.Second, want: ladderkey.Run},
		"just before its record is removed":            {first: use, end: &ran, second: use, after: 2 * horizon, want: ladderkey.Done},
		"repeatable, after it ran":                     {first: repeatable, end: &ran, second: repeatable, after: horizon, want: ladderkey.Done},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := ladderkey.NewBook(horizon)
			require.Equal(t, ladderkey.Run, b.Begin(start, home, tt.first).Action)
			if tt.end != nil {
				b.Finish(start, "k", *tt.end)
			}
			v := b.Begin(start.Add(tt.after), home, tt.second)
			require.Equal(t, tt.want, v.Action, v.Reason)
		})
	}
}

func TestImportedRecordsAreKnown(t *testing.T) {
	home := ladderclaim.Home{Rack: "r", Since: start.Add(-time.Hour)}
	use := ladderkey.KeyUse{Key: "k", Rack: "r", Once: true}
	old, next := ladderkey.NewBook(horizon), ladderkey.NewBook(horizon)
	old.Begin(start, home, use)
	old.Finish(start, "k", laddermodel.Answer{Outcome: laddermodel.Ran})
	old.RefuseNewKeys("r")
	require.Equal(t, ladderkey.Busy, old.Begin(start, home, ladderkey.KeyUse{Key: "new", Rack: "r"}).Action)
	next.Import(old.Export("r"))
	require.Equal(t, ladderkey.Done, next.Begin(start, home, use).Action)
}

func TestHomeRack(t *testing.T) {
	zones := []ladderkey.Zone{{Name: "a", Racks: []string{"a1", "a2"}}, {Name: "b", Racks: []string{"b1"}}}
	tests := map[string]struct {
		key  string
		want []string
	}{
		"with a zone's name":    {key: "b.01ARZ3NDEKTSV4RRFFQ69G5FAV", want: []string{"b1"}},
		"without a zone's name": {key: "k", want: []string{"a1", "a2", "b1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rack := ladderkey.HomeRack(tt.key, zones)
			require.Contains(t, tt.want, rack)
			require.Equal(t, rack, ladderkey.HomeRack(tt.key, zones))
		})
	}
}
