package laddertest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// flowApplied is configApplyMs of the platform: how long after a configuration was stored a VM in touch may use the one
// before.
const flowApplied = 4 * time.Second

// flowTeam is a team of the operators' configuration. Its quota is a number of cores, of which zero means no limit.
type flowTeam struct {
	name  string
	cores int
	keys  []string
}

// flowTeams are the teams of a flow cluster, and what checks their keys and quotas.
type flowTeams struct {
	list []flowTeam
	// keys judges answers, and runs counts what the teams run on the workers.
	keys *ladderstand.CallerKeys
	runs *ladderstand.Teams
	// tasks holds the team and the size of a task of each step, by ladderflow.StepRef of its first round.
	tasks sync.Map
}

// teamTask is the team and the size of a task.
type teamTask struct {
	team string
	need ladderflow.Size
}

// setTeams gives the cluster teams, which the next configuration has. Exceeded is called for each start that brings a team
// above its quota and one task more.
func (f *flowCluster) setTeams(applied time.Duration, exceeded func(ladderflow.Run, string), list ...flowTeam) {
	f.teams = &flowTeams{list: list, keys: ladderstand.NewCallerKeys(applied)}
	f.teams.runs = ladderstand.NewTeams(ladderclock.System{}, applied, f.teams.taskOf, exceeded)
	for _, w := range f.workers {
		w.SetTeams(f.teams.runs)
	}
}

// taskOf returns the team and the size of a task.
func (x *flowTeams) taskOf(t ladderflow.Task) (string, ladderflow.Size) {
	v, ok := x.tasks.Load(ladderflow.StepRef{Job: t.Job, Step: t.Step})
	if !ok {
		return "", ladderflow.Size{}
	}
	return v.(teamTask).team, v.(teamTask).need
}

// record records the team of a job, before it is submitted.
func (x *flowTeams) record(t *testing.T, id, team, steps string) {
	var list []struct {
		CPU   int `json:"cpu"`
		MemMb int `json:"memMb"`
	}
	require.NoError(t, json.Unmarshal([]byte(steps), &list))
	for i, s := range list {
		x.tasks.Store(ladderflow.StepRef{Job: id, Step: i}, teamTask{team, ladderflow.Size{Processor: s.CPU, Memory: s.MemMb}})
	}
}

// add returns a configuration with the teams.
func (x *flowTeams) add(value []byte) []byte {
	var tenants []string
	for _, t := range x.list {
		keys, _ := json.Marshal(t.keys)
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"apiKeys":%s,"weight":100,"cap":{"cpu":%d,"memMb":0,"gpu":0}}`, t.name, keys, 1000*t.cores))
	}
	return append(bytes.TrimSuffix(value, []byte("}")), `,"tenants":[`+strings.Join(tenants, ",")+`]}`...)
}

// storeFleet stores a configuration, with the teams if there are any.
func (f *flowCluster) storeFleet(value []byte) {
	if f.teams != nil {
		value = f.teams.add(value)
	}
	fleet, findings, err := platform.ParseFleet(value)
	require.NoError(f.t, err)
	require.Zero(f.t, findings.Len())
	if f.teams != nil {
		f.teams.runs.SetFleet(fleet)
	}
	f.platform.Store().Txn(platform.Txn{Writes: []platform.Write{{Key: platform.FleetKey, Value: value}}})
	if f.teams != nil {
		var keys []string
		for _, t := range f.teams.list {
			keys = append(keys, t.keys...)
		}
		f.teams.keys.Set(time.Now(), keys...)
	}
}

// submitAs submits a job of a team with its first key and returns its path.
func (f *flowCluster) submitAs(v *flowVM, team flowTeam, prefix, steps string) string {
	f.t.Helper()
	id := fmt.Sprintf("%016x", f.jobs.Add(1))
	f.teams.record(f.t, id, team.name, steps)
	status, body, _ := f.callAs(v, team.keys[0], http.MethodPost, prefix+id, `{"spec":"cut","steps":`+steps+`}`)
	require.Equal(f.t, http.StatusOK, status, body)
	return prefix + id
}

// startTeams starts a cluster with two teams, the first of which has two keys.
func startTeams(t *testing.T, workers, cores int, runTime func(ladderflow.Run, string) (time.Duration, bool)) *flowCluster {
	f := newFlow(t, workers, runTime)
	f.setTeams(flowApplied, func(run ladderflow.Run, text string) { t.Errorf("start %v: %s", run, text) },
		flowTeam{"tailors", cores, []string{"key-of-tailors", "second-key-of-tailors"}}, flowTeam{"cutters", 0, []string{"key-of-cutters"}})
	f.configure(2, `,{"name":"open","host":"fit.example","prefix":"/open/","service":"fitting","attempts":2,"stretchFactor":4,"public":true}`)
	f.startVMs(3)
	f.key = f.teams.list[0].keys[0]
	return f
}

// TestFlowNeedsKeys guards against calls that are served without a key of a team, and against keys that are refused though
// the configuration has them. The answers must be the same on each VM.
func TestFlowNeedsKeys(t *testing.T) {
	f := startTeams(t, 1, 0, nil)
	path := f.submitAs(f.vms[0], f.teams.list[0], "/fit/", twoTasks)
	f.await(path, "done", 5*time.Second)
	for name, c := range map[string]struct {
		key, method, path, body string
		want                    int
	}{
		"a key":                       {"second-key-of-tailors", "GET", path, "", 200},
		"another team's length":       {"key-of-cutters", "GET", "/fit/", "", 200},
		"no key":                      {"", "GET", path, "", 401},
		"no key, to submit":           {"", "POST", "/fit/00000000000000aa", `{"spec":"cut","steps":` + twoTasks + `}`, 401},
		"an unknown key":              {"key-of-nobody", "GET", path, "", 401},
		"an unknown key, to submit":   {"key-of-nobody", "POST", "/fit/00000000000000aa", `{"spec":"cut","steps":` + twoTasks + `}`, 401},
		"an unknown key, to cancel":   {"key-of-nobody", "DELETE", path, "", 401},
		"an unknown key, no such job": {"key-of-nobody", "GET", "/fit/00000000000000ab", "", 401},
		"no key, public":              {"", "GET", "/open/", "", 200},
	} {
		t.Run(name, func(t *testing.T) {
			for _, v := range f.vms {
				sent := time.Now()
				status, body, _ := f.callAs(v, c.key, c.method, c.path, c.body)
				require.Equal(t, c.want, status, body)
				if c.key != "" {
					require.NoError(t, f.teams.keys.Judge(c.key, sent, time.Now(), status))
				}
			}
		})
	}
	require.Equal(t, "gone", f.state(f.vms[0], "/fit/00000000000000aa"))
}

// withdraw stores a configuration without the second key of the first team.
func (f *flowCluster) withdraw(version int) string {
	key := f.teams.list[0].keys[1]
	f.teams.list[0].keys = f.teams.list[0].keys[:1]
	f.configure(version, "")
	return key
}

// TestFlowWithdrawnKeyStopsWorking guards against a withdrawn key that works on some VM for longer than it may, against
// other keys that stop working with it, and against jobs that end with their key.
func TestFlowWithdrawnKeyStopsWorking(t *testing.T) {
	f := startTeams(t, 1, 0, func(ladderflow.Run, string) (time.Duration, bool) { return 5 * time.Second, false })
	path := f.submitAs(f.vms[0], f.teams.list[0], "/regrade/", `[{"count":1,"cpu":1000,"memMb":100,"estimateMs":5000}]`)
	key := f.withdraw(3)
	withdrawn := time.Now()
	refused := map[*flowVM]bool{}
	for time.Since(withdrawn) < flowApplied+500*time.Millisecond {
		for _, v := range f.vms {
			sent := time.Now()
			status, body, _ := f.callAs(v, key, http.MethodGet, path, "")
			require.NoError(t, f.teams.keys.Judge(key, sent, time.Now(), status))
			if status == http.StatusUnauthorized {
				refused[v] = true
			}
			require.Equal(t, refused[v], status == http.StatusUnauthorized, "a refused key works again on %s: %d %s", v.name, status, body)
			status, _, _ = f.callAs(v, f.key, http.MethodGet, path, "")
			require.Equal(t, http.StatusOK, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Len(t, refused, len(f.vms))
	f.await(path, "done", 10*time.Second)
}

// TestFlowWithdrawnKeyAfterRestart guards against a withdrawn key that works again when all VMs lose power right after the
// withdrawal, and when the store has forgotten its history since.
func TestFlowWithdrawnKeyAfterRestart(t *testing.T) {
	f := startTeams(t, 1, 0, nil)
	key := f.withdraw(3)
	restart := func(vms ...*flowVM) {
		for _, v := range vms {
			v.signal(t, syscall.SIGKILL)
		}
		for _, v := range vms {
			<-v.exited
			f.launch(v, v.name)
		}
	}
	refuse := func() {
		limit := time.Now().Add(3 * time.Second)
		refused := map[*flowVM]bool{}
		for time.Now().Before(limit) {
			for _, v := range f.vms {
				status, body, _ := f.callAs(v, key, http.MethodGet, "/fit/", "")
				require.NotEqual(t, http.StatusOK, status, "the withdrawn key works on %s: %s", v.name, body)
				refused[v] = refused[v] || status == http.StatusUnauthorized
			}
			time.Sleep(5 * time.Millisecond)
		}
		require.Len(t, refused, len(f.vms))
	}
	restart(f.vms...)
	refuse()
	f.awaitReady()
	f.setSwitch("forget=true")
	restart(f.vms[0])
	refuse()
}

// TestFlowQuotaIsKept guards against a team that runs more than its quota, also while the leader dies, and against a quota
// that stands still after that. The other team has no quota.
func TestFlowQuotaIsKept(t *testing.T) {
	f := startTeams(t, 3, 5, func(ladderflow.Run, string) (time.Duration, bool) { return 300 * time.Millisecond, false })
	var paths []string
	for i := range 10 {
		steps := longTasks
		if i%3 == 0 {
			steps = `[{"count":2,"cpu":2000,"memMb":100,"estimateMs":300,"gang":true}]`
		}
		paths = append(paths, f.submitAs(f.vms[i%3], f.teams.list[0], "/regrade/", steps), f.submitAs(f.vms[i%3], f.teams.list[1], "/regrade/", twoTasks))
	}
	time.Sleep(500 * time.Millisecond)
	leader := f.leader()
	leader.signal(t, syscall.SIGKILL)
	<-leader.exited
	f.launch(leader, leader.name)
	f.awaitReady()
	f.teams.list[0].cores = 3
	f.configure(3, "")
	for i, path := range paths {
		f.key = f.teams.list[i%2].keys[0]
		if i%2 == 0 && (i/2)%3 == 0 {
			continue // The gang may not fit any more.
		}
		f.await(path, "done", 25*time.Second)
	}
	f.teams.list[0].cores = 4
	f.configure(4, "")
	f.key = f.teams.list[0].keys[0]
	for i := 0; i < len(paths); i += 6 {
		f.await(paths[i], "done", 10*time.Second)
	}
	require.GreaterOrEqual(t, f.teams.runs.Most("tailors").Processor, 4000)
}

// TestFlowShowsTeams guards against operators who can't see what a team has: in top, in explain and in the leader's
// metrics. None of them, nor a log, may show a key.
func TestFlowShowsTeams(t *testing.T) {
	f := startTeams(t, 1, 2, func(ladderflow.Run, string) (time.Duration, bool) { return time.Minute, false })
	running := f.submitAs(f.vms[0], f.teams.list[0], "/regrade/", twoTasks)
	f.await(running, "running", 3*time.Second)
	waiting := f.submitAs(f.vms[1], f.teams.list[0], "/regrade/", twoTasks)
	f.await(waiting, "queued", 3*time.Second)
	status, _, _ := f.callAs(f.vms[0], "key-of-nobody", http.MethodGet, waiting, "")
	require.Equal(t, http.StatusUnauthorized, status)
	shown := ""
	for _, args := range [][]string{
		{"top", "-to", f.vms[0].metrics},
		{"explain", "-to", f.vms[1].metrics, waiting[len("/regrade/"):]},
		{"top", "-json", "-to", f.vms[2].metrics},
		{"explain", "-json", "-to", f.vms[0].metrics, waiting[len("/regrade/"):]},
	} {
		out, err := exec.Command(filepath.Join(programs, "lacewingladder"), args...).CombinedOutput()
		require.NoError(t, err, string(out))
		shown += string(out)
	}
	for _, v := range f.vms {
		response, err := f.client.Get("http://" + v.metrics + "/metrics")
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		log, err := os.ReadFile(v.log)
		require.NoError(t, err)
		shown += string(body) + string(log)
	}
	for _, text := range []string{
		`ladder_team_used{team="tailors",resource="processor"} 2000`, `ladder_team_quota{team="tailors",resource="processor"} 2000`,
		`ladder_team_runs{team="tailors"} 2`, `ladder_team_jobs{team="tailors",state="waiting"} 1`, `ladder_team_share{team="cutters"} `,
		"team tailors: 2 runs use 2000m/200MiB/0a, quota 2000m/0MiB/0a; ", `"Configured":true`, `"JobsBefore":0`,
	} {
		require.Contains(t, shown, text)
	}
	require.Regexp(t, `(?m)^tailors +100 .* 2 +1 +1 +0 2000m/200MiB/0a +2000m/0MiB/0a `, shown)
	for _, team := range f.teams.list {
		for _, key := range append(team.keys, "key-of-nobody") {
			require.NotContains(t, shown, key)
		}
	}
}
