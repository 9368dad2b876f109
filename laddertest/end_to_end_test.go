package laddertest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWholePath guards against failures that only show when all parts work together. It sends
// requests through each entry VM, repeats a keyed request through another VM, and runs jobs
// of each kind to their end or their cancellation.
func TestWholePath(t *testing.T) {
	c := startCluster(t, 2)
	for i, e := range c.entryVMs {
		t.Run("fit check through "+e.name, func(t *testing.T) {
			body := fmt.Sprintf("run=20ms\nfit check %d", i)
			response, err := c.send(e, callerRequest{member: "jadewing", class: "fitcheck", body: body})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.status, response.body)
			require.Equal(t, "ran", response.outcome)
			require.Equal(t, "answer to "+body, response.body)
		})
		t.Run("booking through "+e.name, func(t *testing.T) {
			body := fmt.Sprintf("run=20ms\nbooking %d", i)
			booking := callerRequest{member: "bureau", class: "booking", key: c.mint(e, "bureau"), body: body}
			response, err := c.send(e, booking)
			require.NoError(t, err)
			require.Equal(t, "ran", response.outcome, response.body)
			require.Equal(t, "answer to "+body, response.body)
			again, err := c.send(c.entryVMs[(i+1)%len(c.entryVMs)], booking)
			require.NoError(t, err)
			require.Equal(t, "answer to "+body, again.body)
		})
	}
	const size = "size: {slots: 1, cores: 500m, memory: 64MiB}\n"
	first := c.entryVMs[0]
	batch := c.submit(first, "jadewing", "member: jadewing\nteam: regrades\nkind: batch\ntasks: 20\nbody: run=200ms\n"+size)
	gang := c.submit(c.entryVMs[3], "jadewing", "member: jadewing\nteam: reconciliation\nkind: gang\ntasks: 10\nbody: run=200ms\n"+size)
	service := c.submit(c.entryVMs[5], "bureau", "member: bureau\nteam: archive\nkind: service\ntasks: 2\nbody: endless\n"+size)
	c.awaitJob(c.entryVMs[1], "jadewing", batch.ID, "done", 15*time.Second)
	c.awaitJob(c.entryVMs[2], "jadewing", gang.ID, "done", 15*time.Second)
	require.Eventually(t, func() bool {
		return c.job(c.entryVMs[4], "bureau", service.ID).Running == 2
	}, 10*time.Second, 100*time.Millisecond)
	status, body := c.jobCall(first, http.MethodGet, "/v1/jobs/"+service.ID, "jadewing", "")
	require.Equal(t, http.StatusNotFound, status, body)
	status, body = c.jobCall(first, http.MethodDelete, "/v1/jobs/"+service.ID, "bureau", "")
	require.Equal(t, http.StatusAccepted, status, body)
	c.awaitJob(first, "bureau", service.ID, "cancelled", 10*time.Second)
}
