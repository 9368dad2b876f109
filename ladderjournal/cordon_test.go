package ladderjournal

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// TestCordonsOfLastLeaderHold stores cordons as one leader and reads them after others.
func TestCordonsOfLastLeaderHold(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		terms func(fence int64) []Term
		holds bool
	}{
		"last leader":                     {func(fence int64) []Term { return []Term{{Fence: fence}} }, true},
		"another leader since":            {func(fence int64) []Term { return []Term{{Fence: fence + 1}, {Fence: fence}} }, false},
		"leaders of a build before terms": {func(int64) []Term { return nil }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			j := New(s)
			p := j.ProgressWriter(s.electLeader(), &Contents{})
			require.NoError(t, p.SaveRoster(ctx, nil, c.terms(p.leaderRevision)))
			list := []ladderplan.Cordon{{Worker: "w1", Revision: 3}, {Worker: "w2"}}
			revision, err := p.SaveCordons(ctx, list)
			require.NoError(t, err)
			got, err := j.Load(ctx)
			require.NoError(t, err)
			if !c.holds {
				require.Empty(t, got.Cordons)
				return
			}
			require.Equal(t, []ladderplan.Cordon{{Worker: "w1", Revision: 3}, {Worker: "w2", Revision: revision}}, got.Cordons)
		})
	}
}

// TestLateCordonsUndoNothing leaves a write of cordons unanswered and makes a newer one.
func TestLateCordonsUndoNothing(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	j := New(s)
	p := j.ProgressWriter(s.electLeader(), &Contents{})
	require.NoError(t, p.SaveTerms(ctx, []Term{{Fence: p.leaderRevision}}))
	s.unanswered = 1
	_, err := p.SaveCordons(ctx, []ladderplan.Cordon{{Worker: "w1"}})
	require.ErrorIs(t, err, errNoAnswer)
	_, err = p.SaveCordons(ctx, nil)
	require.NoError(t, err)
	for _, late := range s.delayed {
		s.store.Txn(late)
	}
	c, err := j.Load(ctx)
	require.NoError(t, err)
	require.Empty(t, c.Cordons)
}

// TestMalformedCordonsCountAsNone reads a value that cannot be decoded.
func TestMalformedCordonsCountAsNone(t *testing.T) {
	s := newFakeStore()
	s.store.Txn(platform.Txn{Writes: []platform.Write{{Key: cordonKey, Value: []byte{0xff}}}})
	c, err := New(s).Load(context.Background())
	require.NoError(t, err)
	require.Empty(t, c.Cordons)
	require.Len(t, c.DecodeErrors, 1)
}

// TestSupersededLeaderCordonsNothing lets another leader win before the write.
func TestSupersededLeaderCordonsNothing(t *testing.T) {
	s := newFakeStore()
	p := New(s).ProgressWriter(s.electLeader(), &Contents{})
	s.electLeader()
	_, err := p.SaveCordons(context.Background(), []ladderplan.Cordon{{Worker: "w1"}})
	require.ErrorIs(t, err, ErrSuperseded)
}
