package laddervm

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/platform"
)

// TestSubmissionThatNeverFitsQuota submits jobs of a team with a quota of two processors.
func TestSubmissionThatNeverFitsQuota(t *testing.T) {
	gang := ladderflow.Step{Tasks: 3, Need: ladderflow.Size{Processor: 1000}, Gang: true}
	for name, c := range map[string]struct {
		team string
		// store is the status of the store's answer to a query for the job.
		store  int
		single bool
		fits   bool
		status int
		body   string
	}{
		"it fits":                 {team: "a", single: true, fits: true},
		"a team without a quota":  {team: "b", fits: true},
		"an unknown team":         {team: "c", fits: true},
		"no team":                 {fits: true},
		"it never fits":           {team: "a", store: http.StatusNotFound, status: http.StatusUnprocessableEntity, body: "the gang of 3 tasks needs 3000m"},
		"it was stored before":    {team: "a", store: http.StatusOK, fits: true},
		"the store does not tell": {team: "a", store: http.StatusServiceUnavailable, status: http.StatusServiceUnavailable, body: "is not known now"},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodGet || c.store == 0 {
					t.Errorf("unexpected call: %s %s", r.Method, r.URL)
				}
				w.WriteHeader(c.store)
				if c.store == http.StatusOK {
					_, _ = fmt.Fprint(w, platformItem(r.URL.Query().Get("key"), nil, 7))
				}
			}))
			defer s.Close()
			v := newTestVM(t, "e1")
			v.store = platform.NewStore(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
			v.journal = ladderjournal.New(v.store)
			answer := httptest.NewRecorder()
			x := &exchange{writer: answer, request: httptest.NewRequest(http.MethodPost, "/", http.NoBody), ctx: t.Context(), fleet: &ladderflow.FleetConfig{Teams: []ladderflow.Team{
				{Name: "a", Quota: ladderflow.Size{Processor: 2000}}, {Name: "b"},
			}}}
			step := gang
			step.Gang = !c.single
			fits := v.fitsQuota(x, &ladderflow.Job{ID: "0123456789abcdef", Team: c.team, Steps: []ladderflow.Step{step}})
			require.Equal(t, c.fits, fits)
			require.Equal(t, c.status, x.status)
			require.Contains(t, answer.Body.String(), c.body)
		})
	}
}
