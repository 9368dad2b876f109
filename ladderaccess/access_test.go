package ladderaccess

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
)

// Authorization headers of tests.
const (
	keyOfA      = "Bearer key-a"
	keyOfB      = "Bearer key-b"
	keyOfNobody = "Bearer key-c"
	sharedByTwo = "Bearer key-ab"
)

// testFleet returns a configuration with the teams a and b and a key that both have.
func testFleet() *ladderflow.FleetConfig {
	return &ladderflow.FleetConfig{
		KeysRequired: true,
		Queues:       []ladderflow.Queue{{Name: "q"}, {Name: "open", Public: true}},
		Teams: []ladderflow.Team{
			{Name: "a", Keys: []ladderflow.KeyHash{ladderflow.HashKey("key-a"), ladderflow.HashKey("key-ab")}},
			{Name: "b", Keys: []ladderflow.KeyHash{ladderflow.HashKey("key-b"), ladderflow.HashKey("key-ab")}},
		},
	}
}

func TestAuthorize(t *testing.T) {
	for name, c := range map[string]struct {
		headers   []string
		team      string
		challenge string
		key       string
	}{
		"key":                       {headers: []string{keyOfA}, team: "a"},
		"scheme in lower case":      {headers: []string{"bearer key-b"}, team: "b"},
		"spaces around":             {headers: []string{"  BEARER   key-b "}, team: "b"},
		"no header":                 {challenge: "Bearer"},
		"unknown key":               {headers: []string{keyOfNobody}, challenge: `Bearer error="invalid_token"`, key: "?"},
		"key of two teams":          {headers: []string{sharedByTwo}, challenge: `Bearer error="invalid_token"`, key: "?"},
		"key in another case":       {headers: []string{"Bearer Key-a"}, challenge: `Bearer error="invalid_token"`, key: "?"},
		"empty":                     {headers: []string{""}, challenge: `Bearer error="invalid_request"`},
		"other scheme":              {headers: []string{"Basic key-a"}, challenge: `Bearer error="invalid_request"`},
		"key alone":                 {headers: []string{"key-a"}, challenge: `Bearer error="invalid_request"`},
		"scheme alone":              {headers: []string{"Bearer "}, challenge: `Bearer error="invalid_request"`},
		"two keys":                  {headers: []string{"Bearer key-a key-b"}, challenge: `Bearer error="invalid_request"`},
		"two headers":               {headers: []string{keyOfA, keyOfA}, challenge: `Bearer error="invalid_request"`},
		"tab":                       {headers: []string{"Bearer\tkey-a"}, challenge: `Bearer error="invalid_request"`},
		"characters of other texts": {headers: []string{"Bearer kéy"}, challenge: `Bearer error="invalid_request"`},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFleet()
			caller, refusal := Authorize(f, &f.Queues[0], c.headers)
			open, none := Authorize(f, &f.Queues[1], c.headers)
			require.Nil(t, none, "a public queue needs no key")
			require.Equal(t, Caller{Team: c.team, KeysRequired: true, Queue: "open", Public: true}, open)
			require.Empty(t, open.JobTeam())
			if c.team != "" {
				require.Nil(t, refusal)
				require.Equal(t, Caller{Team: c.team, KeysRequired: true, Queue: "q"}, caller)
				require.Equal(t, c.team, caller.JobTeam())
				return
			}
			require.NotNil(t, refusal)
			require.Zero(t, caller)
			require.Equal(t, c.challenge, refusal.Challenge)
			require.Equal(t, c.key == "", refusal.Key == "", "only an unknown key is identified")
			require.LessOrEqual(t, len(refusal.Key), 8)
			printed := fmt.Sprintf("%+v", *refusal)
			for _, h := range c.headers {
				for _, word := range strings.Fields(h) {
					require.False(t, strings.Contains(word, "key") && strings.Contains(printed, word), "the key is printed: %s", printed)
				}
			}
			f.KeysRequired = false
			caller, refusal = Authorize(f, &f.Queues[0], c.headers)
			require.Nil(t, refusal)
			require.Zero(t, caller)
		})
	}
}

func TestMayUse(t *testing.T) {
	for name, c := range map[string]struct {
		caller      Caller
		team, queue string
		want        bool
	}{
		"its own":                              {Caller{KeysRequired: true, Team: "a", Queue: "q"}, "a", "q", true},
		"its own through another queue":        {Caller{KeysRequired: true, Team: "a", Queue: "r"}, "a", "q", true},
		"another team's":                       {Caller{KeysRequired: true, Team: "a", Queue: "q"}, "b", "q", false},
		"nobody's":                             {Caller{KeysRequired: true, Team: "a", Queue: "q"}, "", "q", true},
		"without a key":                        {Caller{KeysRequired: true, Queue: "open", Public: true}, "", "open", true},
		"a team's through a public queue":      {Caller{KeysRequired: true, Queue: "open", Public: true}, "a", "q", false},
		"a team's of a queue that is now open": {Caller{KeysRequired: true, Queue: "open", Public: true}, "a", "open", true},
		"another team's through a public one":  {Caller{KeysRequired: true, Team: "b", Queue: "open", Public: true}, "a", "q", false},
		"its own through a public one":         {Caller{KeysRequired: true, Team: "a", Queue: "open", Public: true}, "a", "q", true},
		"without teams":                        {Caller{}, "a", "q", true},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.caller.MayUse(c.team, c.queue)) })
	}
}

func TestWithdrawn(t *testing.T) {
	next := testFleet()
	next.Teams[0].Keys = next.Teams[0].Keys[1:]
	teams, keys := Withdrawn(testFleet(), next)
	require.Equal(t, []string{"a"}, teams)
	require.Equal(t, 1, keys)
	teams, keys = Withdrawn(testFleet(), testFleet())
	require.Empty(t, teams)
	require.Zero(t, keys)
	next = testFleet()
	next.Teams[0].Name = "z"
	teams, _ = Withdrawn(testFleet(), next)
	require.Equal(t, []string{"a"}, teams, "the key names another team")
}

// TestUnusualKeys checks that a key that the configuration has is taken whatever it consists of.
func TestUnusualKeys(t *testing.T) {
	for name, key := range map[string]string{"spaces": "two words", "other letters": "schl\u00fcssel", "padding": "a+/b==", "quotes": `"k"`} {
		t.Run(name, func(t *testing.T) {
			f := testFleet()
			f.Teams[0].Keys = append(f.Teams[0].Keys, ladderflow.HashKey(key))
			caller, refusal := Authorize(f, &f.Queues[0], []string{"Bearer " + key})
			require.Nil(t, refusal)
			require.Equal(t, "a", caller.Team)
		})
	}
}

// TestAgainstModel changes the keys of teams and compares each decision with a plain list of who holds which key.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys, names := []string{"k0", "k1", "k2", "k3"}, []string{"a", "b", "c"}
		held := map[string][]string{} // Teams by key.
		f := &ladderflow.FleetConfig{KeysRequired: rapid.Bool().Draw(t, "keys required"), Queues: []ladderflow.Queue{{Name: "q"}, {Name: "p", Public: true}}}
		for _, name := range names {
			team := ladderflow.Team{Name: name}
			for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 0, len(keys), rapid.ID).Draw(t, "keys of "+name) {
				team.Keys = append(team.Keys, ladderflow.HashKey(k))
				held[k] = append(held[k], name)
			}
			f.Teams = append(f.Teams, team)
		}
		queue := &f.Queues[rapid.IntRange(0, 1).Draw(t, "queue")]
		header, want := http.Header{}, ""
		if key := rapid.SampledFrom(append(keys, "")).Draw(t, "key"); key != "" {
			header.Set("Authorization", "Bearer "+key)
			if len(held[key]) == 1 && f.KeysRequired {
				want = held[key][0]
			}
		}
		caller, refusal := Authorize(f, queue, header.Values("Authorization"))
		require.Equal(t, f.KeysRequired && !queue.Public && want == "", refusal != nil)
		if refusal != nil {
			return
		}
		require.Equal(t, want, caller.Team)
		owner, jobQueue := rapid.SampledFrom(append(names, "")).Draw(t, "owner"), rapid.SampledFrom([]string{"q", "p"}).Draw(t, "job's queue")
		may := !f.KeysRequired || owner == "" || owner == want || queue.Public && jobQueue == queue.Name
		require.Equal(t, may, caller.MayUse(owner, jobQueue))
	})
}
