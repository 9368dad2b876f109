package ladderflow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawFleet draws a configuration in which hosts and prefixes often match.
func drawFleet(t *rapid.T, label string) *FleetConfig {
	f := &FleetConfig{
		Version:  rapid.Int64Range(1, 99).Draw(t, label+" version"),
		Services: map[string]Service{"s": {Name: "s", PoweredOff: rapid.Bool().Draw(t, label+" off")}},
		Limits:   Limits{MaxBodyBytes: rapid.IntRange(0, 9).Draw(t, label+" limit")},
	}
	f.KeysRequired = rapid.Bool().Draw(t, label+" keys")
	for i := range rapid.IntRange(0, 2).Draw(t, label+" teams") {
		f.Teams = append(f.Teams, Team{
			Name: fmt.Sprint(i), Weight: float64(rapid.IntRange(1, 2).Draw(t, label+" weight")),
			Keys: []KeyHash{HashKey(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, label+" key"))},
		})
	}
	for i := range rapid.IntRange(0, 6).Draw(t, label+" queues") {
		q := Queue{
			Name:     fmt.Sprintf("q%d", rapid.IntRange(0, 3).Draw(t, label+" name")*10+i),
			Host:     rapid.SampledFrom([]string{"a.example", "A.example", "b.example"}).Draw(t, label+" host"),
			Prefix:   rapid.SampledFrom([]string{"/", "/x/", "/x/y/", "/z/"}).Draw(t, label+" prefix"),
			Priority: rapid.IntRange(0, 1).Draw(t, label+" priority"),
		}
		if rapid.Bool().Draw(t, label+" advice") {
			q.Advice = &AdviceConfig{BaseTime: time.Duration(rapid.IntRange(1, 2).Draw(t, label+" time"))}
		}
		f.Queues = append(f.Queues, q)
	}
	return f
}

// TestRouteFindsLongestPrefix compares Route and Queue with a scan of all queues.
func TestRouteFindsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, "")
		host := rapid.SampledFrom([]string{"a.example", "A.EXAMPLE", "b.example", "c.example"}).Draw(t, "host")
		path := rapid.SampledFrom([]string{"", "/", "/x", "/x/1", "/x/y/1", "/z/"}).Draw(t, "path")
		var want *Queue
		for i := range f.Queues {
			q := &f.Queues[i]
			if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (want == nil || len(q.Prefix) > len(want.Prefix)) {
				want = q
			}
		}
		got, ok := f.Route(host, path)
		require.Equal(t, want != nil, ok)
		require.True(t, want == got, "%v is not %v", got, want)
		for i := range f.Queues {
			got, ok := f.Queue(f.Queues[i].Name)
			require.True(t, ok)
			require.Equal(t, f.Queues[i].Name, got.Name)
		}
		_, ok = f.Queue("none")
		require.False(t, ok)
	})
}

// BenchmarkRoute finds the queue of a request among many.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{45, 4245} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &FleetConfig{}
			for i := range n {
				f.Queues = append(f.Queues, Queue{Name: fmt.Sprint(i), Host: "a.example", Prefix: fmt.Sprintf("/q%06d/", i)})
			}
			path := fmt.Sprintf("/q%06d/0123456789abcdef", n-1)
			for b.Loop() {
				if _, ok := f.Route("a.example", path); !ok {
					b.Fatal("no queue")
				}
			}
		})
	}
}
