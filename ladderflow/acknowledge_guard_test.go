package ladderflow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAcknowledgeGuard sends a start to a worker that answered a poll at second 100, when its clock
// showed one minute, and checks after the start whether a poll may acknowledge ends.
func TestAcknowledgeGuard(t *testing.T) {
	at := func(seconds float64) time.Time { return time.UnixMilli(int64(seconds * 1000)) }
	for name, c := range map[string]struct {
		after func(g *AcknowledgeGuard)
		want  bool
	}{
		"no reply yet": {func(*AcknowledgeGuard) {}, false},
		"refused":      {func(g *AcknowledgeGuard) { g.StartHadNoEffect() }, true},
		"same incarnation": {
			func(g *AcknowledgeGuard) { g.StartAccepted(at(101), 61*time.Second) }, true,
		},
		"later incarnation": {
			func(g *AcknowledgeGuard) { g.StartAccepted(at(101), 500*time.Millisecond) }, false,
		},
		"later incarnation, sender suspended for 20 s": {
			func(g *AcknowledgeGuard) { g.StartAccepted(at(101), 20*time.Second) }, false,
		},
		"sender's last poll long ago": {
			func(g *AcknowledgeGuard) { g.StartAccepted(at(170), 65*time.Second) }, false,
		},
		"no reply": {func(g *AcknowledgeGuard) { g.StartUnanswered(at(101)) }, false},
		"no reply, then a poll sent before that": {
			func(g *AcknowledgeGuard) {
				g.StartUnanswered(at(101))
				g.PollAnswered(at(100.9), 61*time.Second, false)
			}, false,
		},
		"no reply, then a poll sent after that": {
			func(g *AcknowledgeGuard) {
				g.StartUnanswered(at(101))
				g.PollAnswered(at(101.1), 61*time.Second, false)
			}, true,
		},
		"later incarnation, then its first answer": {
			func(g *AcknowledgeGuard) {
				g.StartAccepted(at(101), 500*time.Millisecond)
				g.PollAnswered(at(100.9), 600*time.Millisecond, true)
			}, true,
		},
		"another start without a reply": {
			func(g *AcknowledgeGuard) {
				g.StartSent()
				g.StartAccepted(at(101), 61*time.Second)
			}, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := &AcknowledgeGuard{}
			g.PollAnswered(at(100), time.Minute, true)
			require.True(t, g.MayAcknowledge())
			g.StartSent()
			c.after(g)
			require.Equal(t, c.want, g.MayAcknowledge())
		})
	}
}
