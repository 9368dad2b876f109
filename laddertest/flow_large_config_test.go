package laddertest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// manyQueues returns the JSON of n queues, for [flowCluster.configure].
func manyQueues(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `,{"name":"r-%07d","host":"fit.example","prefix":"/q%07d/","kind":"unsafe","timeoutMs":3000,"goalMs":400,`+
			`"priority":0,"service":"fitting","attempts":4,"stretchFactor":1.5}`, i, i)
	}
	return b.String()
}

// awaitQueue waits until every VM serves the queue with the given number, at most until the limit.
func (f *flowCluster) awaitQueue(number int, limit time.Time) {
	f.t.Helper()
	path := fmt.Sprintf("/q%07d/", number)
	for _, v := range f.vms {
		for {
			status, _, _ := f.call(v, http.MethodGet, path, "")
			if status == http.StatusOK {
				break
			}
			require.Less(f.t, time.Now(), limit, "%s answers %d for queue %d, which is not in force there in time", v.name, status, number)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestLargeConfigurationInForceInTime guards against a large configuration that does not get
// through a link which the VMs of a region share, because each VM reads all of it.
func TestLargeConfigurationInForceInTime(t *testing.T) {
	const (
		vms = 12
		// linkRate is 30 Mbit/s.
		linkRate = 30e6 / 8
		// applyTime is how long a change may take until it is in force.
		applyTime = 4 * time.Second
	)
	f := newFlow(t, 0, nil)
	link := &sharedLink{rate: linkRate}
	f.address = link.relay(f, f.address)
	f.startVMs(vms)
	for i, queues := range []int{1400, 2800, 4200} {
		f.configure(2+2*i, manyQueues(queues))
		large := time.Now()
		time.Sleep(2 * time.Second)
		f.configure(3+2*i, manyQueues(queues+1))
		small := time.Now()
		f.awaitQueue(queues-1, large.Add(applyTime))
		f.awaitQueue(queues, small.Add(applyTime))
	}
}
