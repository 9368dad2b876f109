package ladderdemo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderstand"
	"lacewingladder/laddervm"
	"lacewingladder/platform"
)

const (
	// jobWorkers and jobVMs are the size of the deployment of [RunJobs].
	jobWorkers = 12
	jobVMs     = 3
	// jobGap is the time between two jobs, and jobLimit when a job counts as lost.
	jobGap   = 20 * time.Millisecond
	jobLimit = 30 * time.Second
	// jobCall bounds one call, and jobLook is the time between looks at a job.
	jobCall = 3 * time.Second
	jobLook = 10 * time.Millisecond
)

// jobsConfig is the operators' configuration of [RunJobs].
const jobsConfig = `{"version":1,"routes":[
 {"name":"checks","host":"demo.example","prefix":"/checks/","service":"pool","attempts":3,"stretchFactor":2,"goalMs":400,"priority":0,"advice":{"decideMs":2,"periodMs":0.1,"validMs":2000}},
 {"name":"regrades","host":"demo.example","prefix":"/regrades/","service":"pool","attempts":2,"stretchFactor":3,"goalMs":2000,"priority":1}],
 "services":[{"name":"pool"}]}`

// jobKinds are the jobs that are handed in, in turn.
var jobKinds = []struct{ prefix, steps string }{
	{"/checks/", `[{"count":2,"cpu":1000,"memMb":256,"estimateMs":50}]`},
	{"/regrades/", `[{"count":4,"cpu":4000,"memMb":1024,"estimateMs":200,"gang":true}]`},
	{"/regrades/", `[{"count":6,"cpu":1000,"memMb":256,"estimateMs":100},{"count":1,"cpu":1000,"memMb":256,"estimateMs":50,"after":[0]}]`},
}

// JobsReport is what [RunJobs] has seen.
type JobsReport struct {
	Jobs, Done int
	// Twice counts tasks that began more than once.
	Twice int
	// Took is from handing in to the sight of the end, in microseconds.
	Took *hdrhistogram.Histogram
}

// String returns the report as text.
func (r JobsReport) String() string {
	at := func(q float64) time.Duration {
		return (time.Duration(r.Took.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond)
	}
	return fmt.Sprintf("jobs          %d handed in, %d done\ntook          p50 %v  p99 %v\nstarted twice %d\n",
		r.Jobs, r.Done, at(50), at(99), r.Twice)
}

// stand is a stand-in of the members' platform with entry VMs, in one process.
type stand struct {
	fleet   *Fleet
	runners []*ladderstand.Runner
	callers []string
	stops   []context.CancelFunc
}

// RunJobs starts a stand-in of the members' platform with workers and entry VMs, hands
// jobs in, stops the first VM half way, and waits for the jobs' ends.
func RunJobs(ctx context.Context, jobs int, logs *ladderlog.Logs) (JobsReport, error) {
	r := JobsReport{Jobs: jobs, Took: hdrhistogram.New(1, jobLimit.Microseconds(), 2)}
	s := &stand{fleet: &Fleet{Platform: ladderstand.NewPlatform(ladderclock.System{}), stop: func() {}}}
	defer s.close()
	if err := s.start(ctx, logs); err != nil {
		return r, err
	}
	ends := make(chan time.Duration, jobs)
	for i := range jobs {
		if i == jobs/2 {
			s.stops[0]()
		}
		go func() { ends <- s.run(ctx, i) }()
		time.Sleep(jobGap)
	}
	for range jobs {
		if took := <-ends; took > 0 {
			r.Done++
			if err := r.Took.RecordValue(took.Microseconds()); err != nil {
				return r, err
			}
		}
	}
	for i := range jobs {
		r.Twice += s.twice(i)
	}
	return r, nil
}

func (s *stand) start(ctx context.Context, logs *ladderlog.Logs) error {
	store, err := s.fleet.serve(s.fleet.Platform.Handler())
	if err != nil {
		return err
	}
	advice, err := s.fleet.serve((&ladderstand.Advice{Takes: 2 * time.Millisecond, Valid: 2 * time.Second}).Handler())
	if err != nil {
		return err
	}
	for i := range jobWorkers {
		if err := s.startRunner(i); err != nil {
			return err
		}
	}
	s.fleet.Platform.Store().Txn(platform.Txn{Writes: []platform.Write{{Key: platform.FleetKey, Value: []byte(jobsConfig)}}})
	for i := range jobVMs {
		if err := s.startVM(ctx, fmt.Sprintf("e%d", i), store, advice, logs); err != nil {
			return err
		}
	}
	return nil
}

func (s *stand) startRunner(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return err
	}
	r := ladderstand.NewRunner(ladderclock.System{}, ladderflow.Worker{
		ID: fmt.Sprintf("w%02d", i), Address: address, Service: "pool", Zone: "taoyuan-a",
		Labels:   []string{"a", fmt.Sprintf("r%d", i/4)},
		Capacity: ladderflow.Size{Processor: 16_000, Memory: 32_768},
	}, func(r ladderflow.Run, _ string) (time.Duration, bool) {
		return time.Duration(50+10*(r.Task.Index%5)) * time.Millisecond, false
	})
	server := ladderstand.NewHTTP(r.Handler())
	s.fleet.http = append(s.fleet.http, server)
	s.fleet.wait.Go(func() { _ = server.Serve(l) })
	s.runners = append(s.runners, r)
	return r.Register(s.fleet.Platform.Store())
}

func (s *stand) startVM(ctx context.Context, name string, store, advice netip.AddrPort, logs *ladderlog.Logs) error {
	ports := make([]netip.AddrPort, 4)
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return err
		}
	}
	vm, err := laddervm.New(laddervm.Options{Logs: logs, Metrics: ports[3].Port(), Settings: &platform.Settings{
		Name: name, Zone: "taoyuan-a", Region: "tw-north", Address: ports[0].Addr(), Callers: ports[0], Ready: ports[1],
		FirstPort: ports[2].Port(), LastPort: ports[2].Port(), Store: store, Advice: advice,
		ShortestLease: time.Second, Bounds: platform.Bounds{
			LongestHold: 10 * time.Second, StopTime: 900 * time.Millisecond, Remembered: 2 * time.Minute, Remote: 2,
		},
	}})
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	s.stops = append(s.stops, stop)
	s.callers = append(s.callers, ports[0].String())
	s.fleet.wait.Go(func() { _ = vm.Run(running) })
	return nil
}

// freePort returns a free port of loopback, for TCP and UDP alike.
func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}

func (s *stand) close() {
	for _, stop := range s.stops {
		stop()
	}
	s.fleet.Close()
}

func jobID(i int) string { return fmt.Sprintf("%016x", i+1) }

// run hands a job in, at one VM after the other until one takes it, and waits for its
// end. It returns zero for a job that is lost.
func (s *stand) run(ctx context.Context, i int) time.Duration {
	kind := jobKinds[i%len(jobKinds)]
	body := `{"spec":"cut the jacket","steps":` + kind.steps + `}`
	path, began, taken := kind.prefix+jobID(i), time.Now(), false
	for n := i; time.Since(began) < jobLimit; n++ {
		caller := s.callers[n%len(s.callers)]
		if !taken {
			status, _, err := s.call(ctx, http.MethodPost, caller, path, body)
			taken = err == nil && status == http.StatusOK
		} else if status, answer, err := s.call(ctx, http.MethodGet, caller, path, ""); err == nil && status == http.StatusOK {
			if state(answer) == "done" {
				return time.Since(began)
			}
		}
		time.Sleep(jobLook)
	}
	return 0
}

func state(answer string) string {
	var a struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(answer), &a) != nil {
		return "" // Not a state; the caller asks again.
	}
	return a.State
}

func (s *stand) call(ctx context.Context, method, caller, path, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, jobCall)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+caller+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = "demo.example"
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, string(data), errors.Join(err)
}

// twice returns how many tasks of a job began more than once.
func (s *stand) twice(i int) int {
	n := 0
	for step := range 2 {
		for index := range 6 {
			starts := 0
			for _, r := range s.runners {
				starts += r.Starts(ladderflow.Task{Job: jobID(i), Step: step, Index: index})
			}
			if starts > 1 {
				n++
			}
		}
	}
	return n
}
