package laddervm

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderjournal"
	"lacewingladder/platform"
)

// TestLeaderCountsAsEndedOnProofAlone checks which terms count as over. A leader that counts as ended although
// it acts lets tasks run twice.
func TestLeaderCountsAsEndedOnProofAlone(t *testing.T) {
	own, other := netip.MustParseAddrPort("10.0.0.1:7720"), netip.MustParseAddrPort("10.0.0.2:7720")
	v := &VM{settings: &platform.Settings{Name: "e1", Address: own.Addr(), FirstPort: own.Port()}}
	r := &registry{vm: v, incarnation: "e1/05", peers: map[string]peer{
		"e2": {name: "e2", incarnation: "e2/05", address: other, revision: 50},
	}}
	for name, c := range map[string]struct {
		term ladderjournal.Term
		want bool
	}{
		"this process":                            {ladderjournal.Term{VM: "e1", Incarnation: "e1/05", Address: own, Fence: 60}, true},
		"earlier process of this VM":              {ladderjournal.Term{VM: "e1", Incarnation: "e1/04", Address: own, Fence: 40}, true},
		"another VM of this name":                 {ladderjournal.Term{VM: "e1", Incarnation: "e1/04", Address: other, Fence: 40}, false},
		"replaced by a later process":             {ladderjournal.Term{VM: "e2", Incarnation: "e2/04", Address: other, Fence: 40}, true},
		"registered, so that it may act":          {ladderjournal.Term{VM: "e2", Incarnation: "e2/05", Address: other, Fence: 40}, false},
		"later than the entry that is known":      {ladderjournal.Term{VM: "e2", Incarnation: "e2/06", Address: other, Fence: 40}, false},
		"elected after the entry was written":     {ladderjournal.Term{VM: "e2", Incarnation: "e2/04", Address: other, Fence: 55}, false},
		"replaced by a VM at another address":     {ladderjournal.Term{VM: "e2", Incarnation: "e2/04", Address: own, Fence: 40}, false},
		"VM that is not registered":               {ladderjournal.Term{VM: "e3", Incarnation: "e3/04", Address: other, Fence: 40}, false},
		"unknown leaders, as of an earlier build": {ladderjournal.Term{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, r.hasEnded(c.term))
		})
	}
}
