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

func mint(t *testing.T, at time.Time) string {
	t.Helper()
	key, err := ladderkey.Mint(at, "z", strings.NewReader("0123456789"))
	require.NoError(t, err)
	return key
}

func TestBeginOfAnUnknownKey(t *testing.T) {
	tests := map[string]struct {
		key   string
		after time.Duration
		want  ladderkey.Act
	}{
		"home is new":                       {key: "k", after: horizon - 1, want: ladderkey.Unsure},
		"home is a horizon old":             {key: "k", after: horizon, want: ladderkey.Run},
		"minted after the home began":       {key: mint(t, start.Add(3*time.Second)), after: 4 * time.Second, want: ladderkey.Run},
		"minted within the clocks' skew":    {key: mint(t, start.Add(2*time.Second)), after: 3 * time.Second, want: ladderkey.Unsure},
		"minted before the home began":      {key: mint(t, start.Add(-time.Second)), after: time.Second, want: ladderkey.Unsure},
		"minted longer ago than a horizon":  {key: mint(t, start), after: horizon + time.Second, want: ladderkey.Unsure},
		"minted just within a long horizon": {key: mint(t, start), after: horizon, want: ladderkey.Run},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := ladderkey.NewBook(horizon)
			v := b.Begin(start.Add(tt.after), ladderclaim.Home{Rack: "r", Since: start}, ladderkey.Claim{Key: tt.key, Rack: "r"})
			require.Equal(t, tt.want, v.Act, v.Reason)
		})
	}
}

func TestRepeatedKey(t *testing.T) {
	home := ladderclaim.Home{Rack: "r", Since: start.Add(-time.Hour)}
	ran := laddermodel.Answer{Outcome: laddermodel.Ran, Body: []byte("yes")}
	claim := ladderkey.Claim{Key: "k", Rack: "r", Member: "m", Digest: 1, Once: true, Lease: time.Second}
	again := claim
	again.Once = false
	other := claim
	other.Member = "n"
	changed := claim
	changed.Digest = 2
	tests := map[string]struct {
		first  ladderkey.Claim
		end    *laddermodel.Answer
		second ladderkey.Claim
		after  time.Duration
		want   ladderkey.Act
	}{
		"while it runs":                             {first: claim, second: claim, want: ladderkey.Join},
		"after it ran":                              {first: claim, end: &ran, second: claim, want: ladderkey.Done},
		"of another member":                         {first: claim, end: &ran, second: other, want: ladderkey.Conflict},
		"with another body":                         {first: claim, second: changed, want: ladderkey.Conflict},
		"after it did not run":                      {first: claim, end: &laddermodel.Answer{Outcome: laddermodel.NotRun}, second: claim, want: ladderkey.Run},
		"after it may have run":                     {first: claim, end: &laddermodel.Answer{}, second: claim, after: horizon, want: ladderkey.Done},
		"repeatable, while it may run":              {first: again, end: &laddermodel.Answer{}, second: again, after: time.Second, want: ladderkey.Unsure},
		"repeatable, once it can not run any more":  {first: again, end: &laddermodel.Answer{}, second: again, after: 1021 * time.Millisecond, want: ladderkey.Run},
		"long after it ran, when it is forgotten":   {first: claim, end: &ran, second: claim, after: 2*horizon + time.Second, want: ladderkey.Run},
		"just before it is forgotten, it is known":  {first: claim, end: &ran, second: claim, after: 2 * horizon, want: ladderkey.Done},
		"after it ran, still within its own window": {first: again, end: &ran, second: again, after: horizon, want: ladderkey.Done},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := ladderkey.NewBook(horizon)
			require.Equal(t, ladderkey.Run, b.Begin(start, home, tt.first).Act)
			if tt.end != nil {
				b.Finish(start, "k", *tt.end)
			}
			v := b.Begin(start.Add(tt.after), home, tt.second)
			require.Equal(t, tt.want, v.Act, v.Reason)
		})
	}
}

func TestMovedRecordsAreKnown(t *testing.T) {
	home := ladderclaim.Home{Rack: "r", Since: start.Add(-time.Hour)}
	claim := ladderkey.Claim{Key: "k", Rack: "r", Once: true}
	old, next := ladderkey.NewBook(horizon), ladderkey.NewBook(horizon)
	old.Begin(start, home, claim)
	old.Finish(start, "k", laddermodel.Answer{Outcome: laddermodel.Ran})
	old.Close("r")
	require.Equal(t, ladderkey.Busy, old.Begin(start, home, ladderkey.Claim{Key: "new", Rack: "r"}).Act)
	next.Import(old.Export("r"))
	require.Equal(t, ladderkey.Done, next.Begin(start, home, claim).Act)
}

func TestRack(t *testing.T) {
	zones := []ladderkey.Zone{{Name: "a", Racks: []string{"a1", "a2"}}, {Name: "b", Racks: []string{"b1"}}}
	tests := map[string]struct {
		key  string
		want []string
	}{
		"stays in its zone":       {key: "b.01ARZ3NDEKTSV4RRFFQ69G5FAV", want: []string{"b1"}},
		"any zone without prefix": {key: "k", want: []string{"a1", "a2", "b1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rack := ladderkey.Rack(tt.key, zones)
			require.Contains(t, tt.want, rack)
			require.Equal(t, rack, ladderkey.Rack(tt.key, zones))
		})
	}
}
