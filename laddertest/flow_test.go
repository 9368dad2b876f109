package laddertest

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestFlowServesJobs guards against jobs that do not run, or run again when a caller repeats
// the submission.
func TestFlowServesJobs(t *testing.T) {
	f := startFlow(t, 6, nil)
	for name, c := range map[string]struct{ prefix, steps string }{
		"two tasks with advice":    {"/fit/", twoTasks},
		"two tasks without advice": {"/regrade/", twoTasks},
		"a gang, then tasks":       {"/regrade/", gangThenTasks},
		"a gang with advice":       {"/fit/", gangThenTasks},
	} {
		t.Run(name, func(t *testing.T) {
			f.t = t
			path := f.submit(f.vms[0], c.prefix, c.steps)
			f.await(path, "done", 5*time.Second)
			require.Equal(t, 1, f.starts(path, 0, 0))
			status, _, _ := f.call(f.vms[1], http.MethodPost, path, `{"spec":"cut","steps":`+c.steps+`}`)
			require.Equal(t, http.StatusOK, status, "a repeated submission must return the same job")
			require.Equal(t, "done", f.state(f.vms[2], path))
			require.Equal(t, 1, f.starts(path, 0, 0))
		})
	}
}

// TestFlowAnswersBadInput guards against invalid requests that are accepted, or rejected without
// a reason that helps the caller.
func TestFlowAnswersBadInput(t *testing.T) {
	f := startFlow(t, 1, nil)
	for name, c := range map[string]struct {
		method, path, body string
		wantStatus         int
		wantText           string
	}{
		"malformed body":        {"POST", "/fit/00000000000000aa", `{"spec":`, 400, "body"},
		"no such queue":         {"POST", "/none/00000000000000aa", `{}`, 404, "no queue"},
		"bad id":                {"POST", "/fit/short", `{}`, 400, "16 hexadecimal"},
		"no steps":              {"POST", "/fit/00000000000000aa", `{"spec":"x"}`, 400, "no steps"},
		"a later step":          {"POST", "/fit/00000000000000aa", `{"steps":[{"count":1,"after":[0]}]}`, 400, "not an earlier step"},
		"negative size":         {"POST", "/fit/00000000000000aa", `{"steps":[{"count":1,"cpu":-1}]}`, 400, "negative"},
		"no tasks":              {"POST", "/fit/00000000000000aa", `{"steps":[{"count":0}]}`, 400, "at least one"},
		"a payload too large":   {"POST", "/fit/00000000000000aa", `{"spec":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`, 400, "4000"},
		"a body too large":      {"POST", "/fit/00000000000000aa", `{"spec":"` + strings.Repeat("x", 300_000) + `"}`, 413, "larger"},
		"an unknown job":        {"GET", "/fit/00000000000000ab", "", 410, "no such job"},
		"cancel an unknown job": {"DELETE", "/fit/00000000000000ac", "", 410, "no such job"},
		"unsupported method":    {"PUT", "/fit/00000000000000aa", "{}", 405, "POST"},
		"length: unknown queue": {"GET", "/none/", "", 404, "no queue"},
	} {
		t.Run(name, func(t *testing.T) {
			f.t = t
			status, body, _ := f.call(f.vms[0], c.method, c.path, c.body)
			require.Equal(t, c.wantStatus, status, body)
			require.Contains(t, body, c.wantText)
		})
	}
}

// TestFlowCancels guards against tasks that go on after a cancellation, and against a job that
// starts although its cancellation arrived first.
func TestFlowCancels(t *testing.T) {
	f := startFlow(t, 1, func(ladderflow.Run, string) (time.Duration, bool) { return time.Minute, false })
	path := f.submit(f.vms[0], "/regrade/", longTasks)
	f.await(path, "running", 3*time.Second)
	status, _, _ := f.call(f.vms[1], http.MethodDelete, path, "")
	require.Equal(t, http.StatusOK, status)
	f.await(path, "cancelled", 3*time.Second)
	require.Eventually(t, func() bool { return len(f.workers[0].Running()) == 0 }, 2*time.Second, 5*time.Millisecond)

	// A job whose cancellation arrives first does not start.
	cancelledFirst := "/regrade/00000000000000ff"
	status, _, _ = f.call(f.vms[0], http.MethodDelete, cancelledFirst, "")
	require.Equal(t, http.StatusGone, status)
	status, body, _ := f.call(f.vms[2], http.MethodPost, cancelledFirst, `{"spec":"cut","steps":`+twoTasks+`}`)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "cancelled")
	time.Sleep(300 * time.Millisecond)
	require.Zero(t, f.starts(cancelledFirst, 0, 0))
	f.await(cancelledFirst, "cancelled", 3*time.Second)
}

// TestFlowCancelledIDIsShownOnceSubmitted guards against a job that nobody submitted and that is shown because
// somebody has canceled its ID: by a leader that knows the cancellation, by one that has read it from the store,
// and while no VM leads. Once its job is submitted, it is shown as canceled and does not start.
func TestFlowCancelledIDIsShownOnceSubmitted(t *testing.T) {
	f := startFlow(t, 1, nil)
	path := "/fit/00000000000000fe"
	for range 2 {
		status, _, _ := f.call(f.vms[0], http.MethodDelete, path, "")
		require.Equal(t, http.StatusGone, status)
		f.await(path, "gone", 3*time.Second)
	}
	for _, v := range f.vms {
		v.signal(t, syscall.SIGKILL)
		<-v.exited
	}
	for _, v := range f.vms {
		f.launch(v, v.name)
	}
	f.awaitReady()
	f.await(path, "gone", 3*time.Second)
	status, body, _ := f.call(f.vms[1], http.MethodPost, path, `{"spec":"cut","steps":`+twoTasks+`}`)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "cancelled")
	f.await(path, "cancelled", 3*time.Second)
	f.leader().signal(t, syscall.SIGKILL)
	f.await(path, "cancelled", 5*time.Second)
	require.Zero(t, f.starts(path, 0, 0))
}

// TestFlowStoreOut guards against an outage of the store that blocks callers or stops running
// tasks. New jobs must be rejected at once with a Retry-After header, and tasks that run must
// end normally.
func TestFlowStoreOut(t *testing.T) {
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) { return time.Second, false })
	path := f.submit(f.vms[0], "/regrade/", longTasks)
	f.await(path, "running", 3*time.Second)
	f.setSwitch("down=true")
	began := time.Now()
	status, _, header := f.call(f.vms[1], http.MethodPost, "/fit/00000000000000aa", `{"spec":"cut","steps":`+twoTasks+`}`)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", header.Get("Retry-After"))
	require.Less(t, time.Since(began), time.Second)
	time.Sleep(4 * time.Second)
	f.setSwitch("down=false")
	f.await(path, "done", 6*time.Second)
	require.Equal(t, 1, f.starts(path, 0, 0))
	f.await(f.submit(f.vms[2], "/fit/", twoTasks), "done", 5*time.Second)
	require.Equal(t, "gone", f.state(f.vms[0], "/fit/00000000000000aa"))
}

// TestFlowLongOutageEndsNoTask guards against leases of workers that expire in an outage of the store:
// it takes longer than an earlier leader may act and a worker's lease together.
func TestFlowLongOutageEndsNoTask(t *testing.T) {
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) { return 13 * time.Second, false })
	path := f.submit(f.vms[0], "/regrade/", longTasks)
	f.await(path, "running", 3*time.Second)
	f.setSwitch("down=true")
	time.Sleep(12 * time.Second)
	f.setSwitch("down=false")
	f.await(path, "done", 6*time.Second)
	require.Equal(t, 1, f.starts(path, 0, 0))
}

// TestFlowStoreSilent guards against callers that wait for a store that accepts connections but
// does not answer. Once the VMs have noticed, new jobs must be rejected at once, and accepted
// again as soon as the store answers.
func TestFlowStoreSilent(t *testing.T) {
	f := startFlow(t, 1, nil)
	f.setSwitch("mute=true")
	time.Sleep(1200 * time.Millisecond)
	for i := range 3 {
		began := time.Now()
		status, body, header := f.call(f.vms[i], http.MethodPost, fmt.Sprintf("/fit/%016x", f.jobs.Add(1)), `{"spec":"cut","steps":`+twoTasks+`}`)
		require.Equal(t, http.StatusServiceUnavailable, status, body)
		require.Equal(t, "1", header.Get("Retry-After"))
		require.Less(t, time.Since(began), 100*time.Millisecond)
	}
	f.setSwitch("mute=false")
	require.Eventually(t, func() bool {
		status, _, _ := f.call(f.vms[0], http.MethodPost, fmt.Sprintf("/fit/%016x", f.jobs.Add(1)), `{"spec":"cut","steps":`+twoTasks+`}`)
		return status == http.StatusOK
	}, 1500*time.Millisecond, 20*time.Millisecond)
}
