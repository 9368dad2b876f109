package laddertest

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// awaitVersion waits until every entry VM reports the given configuration version or a newer
// one.
func (c *cluster) awaitVersion(t *testing.T, version uint64, limit time.Duration) {
	t.Helper()
	began := time.Now()
	for _, e := range c.entryVMs {
		for {
			if st, ok := c.status(e); ok && st.Version >= version {
				break
			}
			require.Less(t, time.Since(began), limit, "%s does not have version %d", e.name, version)
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("version %d was in force everywhere after %v", version, time.Since(began).Round(time.Millisecond))
}

// TestConfiguration guards against configuration changes that are lost, applied twice or not
// applied everywhere: when operators change it at the same time, when the store's answer is
// lost, when the store is restored to an older state, and when an entry VM starts while the
// store is not available.
func TestConfiguration(t *testing.T) {
	c := startCluster(t, 2)
	traffic := c.startTraffic()
	file := filepath.Join(c.dir, "change.yaml")
	document := configuration(2)
	require.NoError(t, os.WriteFile(file, []byte(document), 0o600))
	apply := func(e *entryVM, args ...string) (string, error) {
		args = append([]string{"apply", "-to", e.operators, "-token", "secret", "-file", file}, args...)
		out, err := exec.Command(filepath.Join(programs, "lacewingladder"), args...).CombinedOutput()
		return string(out), err
	}

	t.Run("a change is in force everywhere in time", func(t *testing.T) {
		out, err := apply(c.entryVMs[0])
		require.NoError(t, err, out)
		c.awaitVersion(t, 2, configTarget)
	})
	t.Run("of two concurrent changes one is accepted and the other names it", func(t *testing.T) {
		var wait sync.WaitGroup
		outs, errs := make([]string, 2), make([]error, 2)
		for i, by := range []string{"ann", "bob"} {
			wait.Go(func() { outs[i], errs[i] = apply(c.entryVMs[3*i], "-by", by, "-base", "2") })
		}
		wait.Wait()
		require.NotEqual(t, errs[0] == nil, errs[1] == nil, "%v", outs)
		winner, loser := "ann", outs[1]
		if errs[1] == nil {
			winner, loser = "bob", outs[0]
		}
		require.Contains(t, loser, "conflict: version 3 by "+winner)
		c.awaitVersion(t, 3, configTarget)
	})
	t.Run("a lost answer of the store is resolved by reading back", func(t *testing.T) {
		c.setSwitch(c.platform, "lost=true")
		out, err := apply(c.entryVMs[4])
		c.setSwitch(c.platform, "lost=false")
		require.NoError(t, err, out)
		c.awaitVersion(t, 4, configTarget)
	})
	t.Run("a restored store does not revert the configuration", func(t *testing.T) {
		c.setSwitch(c.platform, "save=true")
		out, err := apply(c.entryVMs[1])
		require.NoError(t, err, out)
		c.awaitVersion(t, 5, configTarget)
		c.setSwitch(c.platform, "restore=true")
		time.Sleep(configTarget)
		c.awaitVersion(t, 5, configTarget)
		out, err = apply(c.entryVMs[2])
		require.NoError(t, err, out)
		c.awaitVersion(t, 6, configTarget)
	})
	t.Run("an exception without a reason is refused by the entry VM", func(t *testing.T) {
		bad := document + "\n  - target: team/archive\n    set: quota\n    value: 3\n"
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+c.entryVMs[0].operators+"/v1/config", strings.NewReader(bad))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer secret")
		response, err := c.client.Do(request)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	})
	t.Run("a VM that starts in an outage gets the configuration from its peers", func(t *testing.T) {
		c.setSwitch(c.platform, "down=true")
		e := c.entryVMs[5]
		e.signal(t, syscall.SIGKILL)
		e.wait(t, time.Second)
		c.launchEntryVM(e, e.name)
		c.awaitVersion(t, 6, 10*time.Second)
		c.setSwitch(c.platform, "down=false")
	})
	traffic.audit(t)
}
