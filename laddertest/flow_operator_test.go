package laddertest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestFlowExplains guards against operator queries that only the leader can answer. The
// subcommands explain and top must work through each VM.
func TestFlowExplains(t *testing.T) {
	f := startFlow(t, 1, func(ladderflow.Run, string) (time.Duration, bool) { return time.Minute, false })
	running := f.submit(f.vms[0], "/regrade/", `[{"count":1,"cpu":8000,"memMb":100,"estimateMs":20}]`)
	f.await(running, "running", 3*time.Second)
	waiting := f.submit(f.vms[0], "/regrade/", twoTasks)
	f.await(waiting, "queued", 3*time.Second)
	query := func(args ...string) string {
		out, err := exec.Command(filepath.Join(programs, "lacewingladder"), args...).CombinedOutput()
		require.NoError(t, err, string(out))
		return string(out)
	}
	for _, v := range f.vms {
		require.Contains(t, query("explain", "-to", v.metrics, waiting[len("/regrade/"):]), "1 workers with tickets have no room")
		require.Contains(t, query("explain", "-to", v.metrics, running[len("/regrade/"):]), "task 0 run 1 on w0: running")
		require.Contains(t, query("top", "-to", v.metrics), "ready")
	}
	require.True(t, json.Valid([]byte(query("top", "-json", "-to", f.vms[0].metrics))))
}

// TestFlowConfiguration guards against VMs that miss a configuration change or apply an older
// version. It adds a queue, stores an older version without it, which must be ignored, and
// removes the queue with a newer version after the store has dropped its history.
func TestFlowConfiguration(t *testing.T) {
	f := startFlow(t, 1, nil)
	f.configure(4, `,{"name":"late","host":"fit.example","prefix":"/late/","service":"fitting","attempts":1,"stretchFactor":2}`)
	f.awaitStatus("/late/", http.StatusOK)
	f.configure(3, "")
	time.Sleep(200 * time.Millisecond)
	f.awaitStatus("/late/", http.StatusOK)
	f.setSwitch("forget=true")
	f.configure(9, "")
	f.awaitStatus("/late/", http.StatusNotFound)
}

// TestFlowWatchesMissChange guards against a configuration change that VMs never see. The
// watches that wait at the store are not woken although their connections stay open, and the
// store drops the history in which the change could be read later. The change must still be
// in force in time.
func TestFlowWatchesMissChange(t *testing.T) {
	f := startFlow(t, 1, nil)
	f.setSwitch("deaf=true")
	time.Sleep(300 * time.Millisecond)
	f.setSwitch("deaf=false")
	f.configure(4, `,{"name":"late","host":"fit.example","prefix":"/late/","service":"fitting","attempts":1,"stretchFactor":2}`)
	f.setSwitch("forget=true")
	f.awaitStatus("/late/", http.StatusOK)
}

// TestFlowSettingsChange guards against a VM that ignores a change of its settings file or fails
// because of one. It sends SIGHUP, changes the file without a signal, and makes it invalid.
// The VM must log each of these and go on serving.
func TestFlowSettingsChange(t *testing.T) {
	f := startFlow(t, 1, nil)
	v := f.vms[0]
	awaitLog := func(text string, times int) {
		t.Helper()
		require.Eventually(t, func() bool {
			log, err := os.ReadFile(v.log)
			return err == nil && strings.Count(string(log), text) == times
		}, 5*time.Second, 20*time.Millisecond, text)
	}
	v.signal(t, syscall.SIGHUP)
	awaitLog("settings are read again", 1)
	data, err := os.ReadFile(v.settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(v.settings, bytes.Replace(data, []byte("graceS: 6"), []byte("graceS: 5"), 1), 0o600))
	awaitLog("settings are read again", 2)
	require.NoError(t, os.WriteFile(v.settings, []byte("ip: nowhere"), 0o600))
	awaitLog("settings can not be read", 1)
	f.await(f.submit(v, "/fit/", twoTasks), "done", 5*time.Second)
}

// TestFlowMetrics guards against missing metrics: it looks for those that operators monitor.
func TestFlowMetrics(t *testing.T) {
	f := startFlow(t, 2, nil)
	f.await(f.submit(f.vms[0], "/fit/", gangThenTasks), "done", 5*time.Second)
	path := f.submit(f.vms[0], "/fit/", longTasks)
	status, _, _ := f.call(f.vms[0], http.MethodDelete, path, "")
	require.Equal(t, http.StatusOK, status)
	text := ""
	for _, v := range f.vms {
		response, err := f.client.Get("http://" + v.metrics + "/metrics")
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		text += string(body)
		require.Contains(t, string(body), "ladder_configuration_version 1\n")
	}
	for _, name := range []string{
		"ladder_jobs_accepted_total", "ladder_accept_seconds_bucket", "ladder_commit_seconds_bucket", "ladder_advice_seconds_bucket",
		"ladder_wait_seconds_bucket", "ladder_start_seconds_bucket", "ladder_end_noted_seconds_bucket", "ladder_cancel_seconds_bucket",
		"ladder_configuration_age_seconds ", "ladder_fence ", "ladder_leads 1", "ladder_peers 2", "ladder_store_silent 0",
		`ladder_workers_held{by="e`, `ladder_queue_jobs{queue="booths",state="waiting"} 0`,
		`ladder_store_calls_total{kind="commit",result="served"}`,
	} {
		require.Contains(t, text, name)
	}
}
