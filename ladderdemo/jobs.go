package ladderdemo

import (
	"context"
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

// jobsFleet is the operators' configuration of [RunJobs].
var jobsFleet = &ladderflow.Fleet{
	Version: 1, Services: map[string]ladderflow.Service{"pool": {Name: "pool"}},
	Queues: []ladderflow.Queue{
		{
			Name: "checks", Host: jobsHost, Prefix: "/checks/", Service: "pool", Attempts: 3, Stretch: 2,
			Goal:   400 * time.Millisecond,
			Advice: &ladderflow.Advice{Base: 2 * time.Millisecond, PerWorker: 100 * time.Microsecond, Valid: 2 * time.Second},
		},
		{
			Name: "regrades", Host: jobsHost, Prefix: "/regrades/", Service: "pool", Priority: 1, Attempts: 2, Stretch: 3,
			Goal: 2 * time.Second,
		},
	},
}

const jobsHost = "demo.example"

// jobKinds are the jobs that are handed in, in turn.
var jobKinds = []struct {
	prefix string
	steps  []ladderflow.Step
}{
	{"/checks/", []ladderflow.Step{{Tasks: 2, Need: small, Estimate: 50 * time.Millisecond}}},
	{"/regrades/", []ladderflow.Step{{Tasks: 4, Need: large, Estimate: 200 * time.Millisecond, Gang: true}}},
	{"/regrades/", []ladderflow.Step{
		{Tasks: 6, Need: small, Estimate: 100 * time.Millisecond},
		{Tasks: 1, Need: small, Estimate: 50 * time.Millisecond, After: []int{0}},
	}},
}

// The sizes of the demo's tasks.
var (
	small = ladderflow.Size{Processor: 1000, Memory: 256}
	large = ladderflow.Size{Processor: 4000, Memory: 1024}
)

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
	s.fleet.Platform.Store().Txn(platform.Txn{Writes: []platform.Write{{Key: platform.FleetKey, Value: platform.FormatFleet(jobsFleet)}}})
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
	body := string(platform.FormatJob(&ladderflow.Job{Payload: "cut the jacket", Steps: kind.steps}))
	path, began, taken := kind.prefix+jobID(i), time.Now(), false
	for n := i; time.Since(began) < jobLimit; n++ {
		caller := s.callers[n%len(s.callers)]
		if !taken {
			status, _, err := s.call(ctx, http.MethodPost, caller, path, body)
			taken = err == nil && status == http.StatusOK
		} else if status, answer, err := s.call(ctx, http.MethodGet, caller, path, ""); err == nil && status == http.StatusOK {
			if state, err := platform.ParseState(answer); err == nil && state == ladderflow.Done {
				return time.Since(began)
			}
		}
		time.Sleep(jobLook)
	}
	return 0
}

func (s *stand) call(ctx context.Context, method, caller, path, body string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, jobCall)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+caller+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = jobsHost
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, data, err
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
