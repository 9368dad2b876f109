package laddertest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/platform"
)

// configureTeams stores a version of the configuration with one team and its keys.
func (f *flowCluster) configureTeams(version int, keys ...string) {
	f.t.Helper()
	list, err := json.Marshal(keys)
	require.NoError(f.t, err)
	team := fmt.Sprintf(`"tenants":[{"name":"tailors","apiKeys":%s,"weight":1}],"limits":`, list)
	value := []byte(strings.Replace(fmt.Sprintf(flowConfig, version, ""), `"limits":`, team, 1))
	fleet, findings, err := platform.ParseFleet(value)
	require.NoError(f.t, err)
	require.Zero(f.t, findings.Len())
	require.Len(f.t, fleet.Teams[0].Keys, len(keys))
	f.platform.Store().Txn(platform.Txn{Writes: []platform.Write{{Key: platform.FleetKey, Value: value}}})
}

// callWithKey makes a call with a key and returns the status, or zero if there is no response.
func (f *flowCluster) callWithKey(v *flowVM, method, path, body, key string) (int, string) {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+v.callers+path, strings.NewReader(body))
	require.NoError(f.t, err)
	r.Host = "fit.example"
	r.Header.Set("Deadline-Ms", "1000")
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := f.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// TestFlowWithdrawnKeyAndLossOfPower withdraws a key, and all VMs lose power right after it, while the store is down.
// From then on the key must not work on any VM at any moment. The job that was accepted under it must be done.
func TestFlowWithdrawnKeyAndLossOfPower(t *testing.T) {
	const (
		path     = "/regrade/00000000000000aa"
		job      = `{"spec":"cut","steps":` + longTasks + `}`
		downTime = 1500 * time.Millisecond
		upTime   = 4 * time.Second
	)
	f := newFlow(t, 3, nil)
	f.configureTeams(2, "key-old", "key-new")
	f.startVMs(3)
	for _, v := range f.vms {
		status, body := f.callWithKey(v, http.MethodPost, path, job, "key-old")
		require.Equal(t, http.StatusOK, status, body)
		status, body = f.callWithKey(v, http.MethodPost, path, job, "key-none")
		require.Equal(t, http.StatusUnauthorized, status, body)
	}
	f.configureTeams(3, "key-new")
	f.setSwitch("down=true")
	for _, v := range f.vms {
		v.signal(t, syscall.SIGKILL)
	}
	for _, v := range f.vms {
		<-v.exited
		f.launch(v, v.name)
	}
	refusals := map[int]int{}
	watch := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, v := range f.vms {
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					status, body := f.callWithKey(v, method, path, job, "key-old")
					require.Contains(t, []int{0, http.StatusServiceUnavailable, http.StatusUnauthorized}, status, body)
					refusals[status]++
				}
			}
		}
	}
	watch(downTime)
	require.Zero(t, refusals[http.StatusUnauthorized], "no VM knows a configuration yet")
	f.setSwitch("down=false")
	watch(upTime)
	require.Positive(t, refusals[http.StatusUnauthorized])
	for _, v := range f.vms {
		require.Eventually(t, func() bool {
			status, body := f.callWithKey(v, http.MethodGet, path, "", "key-new")
			return status == http.StatusOK && strings.Contains(body, "done")
		}, 10*time.Second, 20*time.Millisecond)
	}
}
