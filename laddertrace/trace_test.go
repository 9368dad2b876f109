package laddertrace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddermodel"
	"lacewingladder/laddertrace"
)

func TestParseReportsAllLines(t *testing.T) {
	_, err := laddertrace.Parse("t.jsonl", []byte(`{"at":"1s","member":"m","kind":"urgent","class":"c","outcome":"ran"}
{"at":"soon","member":"m","kind":"urgent"}
{"at":"1s","member":"m","kind":"batch","team":"t","colour":1}
{"at":"1s","member":"m","kind":"batch","team":"t"}
`))
	require.EqualError(t, err, `t.jsonl:2:1: at: "soon" is not a duration such as 150ms
t.jsonl:2:1: class: an urgent request needs one
t.jsonl:3:1: json: unknown field "colour"
t.jsonl:4:1: a job needs at least one task of at least one slot`)
}

func TestEncodeRoundTrip(t *testing.T) {
	trace := []laddertrace.Entry{
		{At: time.Second, Member: "m", Kind: laddermodel.Urgent, Class: "c", Run: time.Millisecond, Deadline: time.Second, Key: "k", Outcome: "ran"},
		{At: 2 * time.Second, Member: "m", Kind: laddermodel.Gang, Team: "t", Tasks: 4, Size: laddermodel.Size{Slots: 2, Memory: 5}, Estimate: time.Minute},
	}
	data, err := laddertrace.Encode(trace)
	require.NoError(t, err)
	parsed, err := laddertrace.Parse("t.jsonl", data)
	require.NoError(t, err)
	require.Equal(t, trace, parsed)
}

// FuzzParse checks that no trace makes [laddertrace.Parse] panic, and that accepted
// entries have a member and a time of at least zero.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"at":"1s","member":"m","kind":"urgent","class":"c"}`))
	f.Add([]byte("{\n[]\n\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := laddertrace.Parse("f", data)
		if err != nil {
			return
		}
		for _, e := range trace {
			if e.Member == "" || e.At < 0 {
				t.Fatalf("accepted %+v", e)
			}
		}
	})
}
