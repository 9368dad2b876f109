package laddertest

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// TestFlowHotTeamIsRefused lets one team submit several times what the workers can run, beside another that submits
// little. Callers come back when they are told to. Jobs of the other team must not be refused, each job whose caller
// had only refusals must never run, and each accepted one must be done.
func TestFlowHotTeamIsRefused(t *testing.T) {
	const (
		job      = `{"spec":"cut","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":500}]}`
		duration = 3 * time.Second
		attempts = 5
	)
	var mu sync.Mutex
	ran := map[string]bool{}
	f := newFlow(t, 4, func(r ladderflow.Run, _ string) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		ran[r.Task.Job] = true
		return 500 * time.Millisecond, false
	})
	teams := `"tenants":[{"name":"hot","apiKeys":["key-hot"],"weight":6},{"name":"calm","apiKeys":["key-calm"],"weight":6}],"limits":`
	value := []byte(strings.Replace(fmt.Sprintf(flowConfig, 2, ""), `"limits":`, teams, 1))
	f.platform.Store().Txn(platform.Txn{Writes: []platform.Write{{Key: platform.FleetKey, Value: value}}})
	f.startVMs(3)
	type outcome struct{ accepted, refused, unknown bool }
	outcomes := map[string]outcome{}
	var callers sync.WaitGroup
	call := func(key, id string) {
		var o outcome
		for i := range attempts {
			v := f.vms[(i+len(id)+int(id[15]))%len(f.vms)]
			r, err := http.NewRequest(http.MethodPost, "http://"+v.callers+"/regrade/"+id, strings.NewReader(job))
			require.NoError(t, err)
			r.Host = "fit.example"
			r.Header.Set("Authorization", "Bearer "+key)
			r.Header.Set("Deadline-Ms", "3000")
			response, err := f.client.Do(r)
			if err != nil {
				o.unknown = true
				continue
			}
			_ = response.Body.Close()
			switch response.StatusCode {
			case http.StatusOK:
				o.accepted = true
			case http.StatusTooManyRequests, http.StatusServiceUnavailable:
				o.refused = o.refused || response.StatusCode == http.StatusTooManyRequests
				seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
				if err != nil || seconds < 1 {
					t.Errorf("Retry-After %q", response.Header.Get("Retry-After"))
				}
				time.Sleep(time.Duration(seconds) * time.Second)
				continue
			default:
				o.unknown = true
			}
			break
		}
		mu.Lock()
		defer mu.Unlock()
		outcomes[key+" "+id] = o
	}
	n := 0
	for end, step := time.Now().Add(duration), 0; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		keys := []string{"key-hot"}
		if step++; step%10 == 0 {
			keys = append(keys, "key-calm")
		}
		for _, key := range keys {
			n++
			id := fmt.Sprintf("%016x", n)
			callers.Go(func() { call(key, id) })
		}
	}
	callers.Wait()
	time.Sleep(time.Second)
	counts := map[string]int{}
	mu.Lock()
	defer mu.Unlock()
	for name, o := range outcomes {
		key, id, _ := strings.Cut(name, " ")
		counts[fmt.Sprintf("%s %+v", key, o)]++
		require.False(t, o.refused && key == "key-calm", "a job of the calm team was refused")
		if !o.accepted && !o.unknown {
			require.False(t, ran[id], "a job ran whose caller had only refusals")
		}
	}
	t.Log(counts)
	require.Positive(t, counts["key-hot {accepted:true refused:true unknown:false}"])
}
