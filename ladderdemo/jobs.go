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
	// jobWorkers and jobVMs are the numbers of workers and entry VMs of [RunJobs].
	jobWorkers = 12
	jobVMs     = 3
	// jobInterval is the time between the submissions of two jobs.
	jobInterval = 20 * time.Millisecond
	// jobTimeout is the time after which a job that is not done counts as lost.
	jobTimeout = 30 * time.Second
	// jobCallTimeout is the time limit of one HTTP call.
	jobCallTimeout = 3 * time.Second
	// jobPollInterval is the time between two calls for the same job.
	jobPollInterval = 10 * time.Millisecond
)

// jobsConfig is the operators' configuration of the deployment of [RunJobs].
var jobsConfig = &ladderflow.FleetConfig{
	Version: 1, Services: map[string]ladderflow.Service{"pool": {Name: "pool"}},
	Queues: []ladderflow.Queue{
		{
			Name: "checks", Host: jobsHost, Prefix: "/checks/", Service: "pool", MaxFailures: 3, ObjectiveFactor: 2,
			BaseObjective: 400 * time.Millisecond,
			Advice:        &ladderflow.AdviceConfig{BaseTime: 2 * time.Millisecond, TimePerWorker: 100 * time.Microsecond, TicketLifetime: 2 * time.Second},
		},
		{
			Name: "regrades", Host: jobsHost, Prefix: "/regrades/", Service: "pool", Priority: 1, MaxFailures: 2, ObjectiveFactor: 3,
			BaseObjective: 2 * time.Second,
		},
	},
}

// jobsHost is the host name at which the queues accept jobs.
const jobsHost = "demo.example"

// jobTemplates holds the jobs that [RunJobs] submits in turn, with the path prefix
// of the queue to which each is submitted.
var jobTemplates = []struct {
	prefix string
	steps  []ladderflow.Step
}{
	{"/checks/", []ladderflow.Step{{Tasks: 2, Need: smallTask, Estimate: 50 * time.Millisecond}}},
	{"/regrades/", []ladderflow.Step{{Tasks: 4, Need: largeTask, Estimate: 200 * time.Millisecond, Gang: true}}},
	{"/regrades/", []ladderflow.Step{
		{Tasks: 6, Need: smallTask, Estimate: 100 * time.Millisecond},
		{Tasks: 1, Need: smallTask, Estimate: 50 * time.Millisecond, DependsOn: []int{0}},
	}},
}

// The resources that the demo's tasks need.
var (
	smallTask = ladderflow.Size{Processor: 1000, Memory: 256}
	largeTask = ladderflow.Size{Processor: 4000, Memory: 1024}
)

// JobsReport holds the results of [RunJobs].
type JobsReport struct {
	// Jobs is the number of jobs that were submitted, and Done the number of those
	// that were done within the time limit.
	Jobs, Done int
	// StartedTwice is the number of tasks that were started more than once.
	StartedTwice int
	// Durations holds the times from the submission of a job until a caller saw its end,
	// in microseconds.
	Durations *hdrhistogram.Histogram
}

// String returns the report as text.
func (r JobsReport) String() string {
	percentile := func(p float64) time.Duration {
		return (time.Duration(r.Durations.ValueAtQuantile(p)) * time.Microsecond).Round(time.Millisecond)
	}
	return fmt.Sprintf("jobs          %d handed in, %d done\ntook          p50 %v  p99 %v\nstarted twice %d\n",
		r.Jobs, r.Done, percentile(50), percentile(99), r.StartedTwice)
}

// jobsDeployment is a deployment on a stand-in for the members' platform.
type jobsDeployment struct {
	// fleet holds the stand-in for the platform and the HTTP servers of all stand-ins.
	// Its Workers and Entries are empty; workers and stopVM are used instead.
	fleet *Fleet
	// workers holds the stand-ins for the workers.
	workers []*ladderstand.PlatformWorker
	// callers holds the callers' addresses of the entry VMs.
	callers []string
	// stopVM holds, for each entry VM, a function that begins to drain it.
	stopVM []context.CancelFunc
}

// RunJobs starts a stand-in for the members' platform with workers and entry VMs. It
// submits the given number of jobs, stops the first entry VM after half of them, and
// waits until each job is done or has reached its time limit.
func RunJobs(ctx context.Context, jobs int, logs *ladderlog.Loggers) (JobsReport, error) {
	r := JobsReport{Jobs: jobs, Durations: hdrhistogram.New(1, jobTimeout.Microseconds(), 2)}
	d := &jobsDeployment{fleet: &Fleet{Platform: ladderstand.NewPlatform(ladderclock.System{}), stop: func() {}}}
	defer d.close()
	if err := d.start(ctx, logs); err != nil {
		return r, err
	}
	durations := make(chan time.Duration, jobs)
	for i := range jobs {
		if i == jobs/2 {
			d.stopVM[0]()
		}
		go func() { durations <- d.runJob(ctx, i) }()
		time.Sleep(jobInterval)
	}
	for range jobs {
		if duration := <-durations; duration > 0 {
			r.Done++
			if err := r.Durations.RecordValue(duration.Microseconds()); err != nil {
				return r, err
			}
		}
	}
	for i := range jobs {
		r.StartedTwice += d.startedTwice(i)
	}
	return r, nil
}

// start starts the platform, the advice service, the workers and the entry VMs.
func (d *jobsDeployment) start(ctx context.Context, logs *ladderlog.Loggers) error {
	store, err := d.fleet.serve(d.fleet.Platform.Handler())
	if err != nil {
		return err
	}
	advice, err := d.fleet.serve((&ladderstand.Advice{ResponseTime: 2 * time.Millisecond, TicketTTL: 2 * time.Second}).Handler())
	if err != nil {
		return err
	}
	for i := range jobWorkers {
		if err := d.startWorker(i); err != nil {
			return err
		}
	}
	d.fleet.Platform.Store().Txn(platform.Txn{Writes: []platform.Write{{Key: platform.FleetKey, Value: platform.FormatFleet(jobsConfig, nil)}}})
	for i := range jobVMs {
		if err := d.startVM(ctx, fmt.Sprintf("e%d", i), store, advice, logs); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts the worker with the given index and registers it in the store.
func (d *jobsDeployment) startWorker(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return err
	}
	worker := ladderstand.NewPlatformWorker(ladderclock.System{}, ladderflow.Worker{
		ID: fmt.Sprintf("w%02d", i), Address: address, Service: "pool", Zone: "taoyuan-a",
		Labels:   []string{"a", fmt.Sprintf("r%d", i/4)},
		Capacity: ladderflow.Size{Processor: 16_000, Memory: 32_768},
	}, func(run ladderflow.Run, _ string) (time.Duration, bool) {
		return time.Duration(50+10*(run.Task.Index%5)) * time.Millisecond, false
	})
	server := ladderstand.NewHTTPServer(worker.Handler())
	d.fleet.httpServers = append(d.fleet.httpServers, server)
	d.fleet.running.Go(func() { _ = server.Serve(l) })
	d.workers = append(d.workers, worker)
	return worker.Register(d.fleet.Platform.Store())
}

// startVM starts an entry VM with the given name.
func (d *jobsDeployment) startVM(ctx context.Context, name string, store, advice netip.AddrPort, logs *ladderlog.Loggers) error {
	ports := make([]netip.AddrPort, 4)
	for i, network := range []string{"tcp", "tcp", "udp", "tcp"} {
		var err error
		if ports[i], err = ladderstand.FreePort(network); err != nil {
			return err
		}
	}
	vm, err := laddervm.New(laddervm.Options{Logs: logs, MetricsPort: ports[3].Port(), Settings: &platform.Settings{
		Name: name, Zone: "taoyuan-a", Region: "tw-north", Address: ports[0].Addr(), CallerAddress: ports[0], ReadyAddress: ports[1],
		FirstPort: ports[2].Port(), LastPort: ports[2].Port(), StoreAddress: store, AdviceAddress: advice,
		MinLease: time.Second, Bounds: platform.Bounds{
			MaxWorkerLease: 10 * time.Second, StopTimeout: 900 * time.Millisecond, JobRetention: 2 * time.Minute, RemoteFactor: 2,
		},
	}})
	if err != nil {
		return err
	}
	vmCtx, stop := context.WithCancel(ctx)
	d.stopVM = append(d.stopVM, stop)
	d.callers = append(d.callers, ports[0].String())
	d.fleet.running.Go(func() { _ = vm.Run(vmCtx) })
	return nil
}

// close begins to drain the entry VMs, closes the HTTP servers of the stand-ins and
// waits until all of them have ended.
func (d *jobsDeployment) close() {
	for _, stop := range d.stopVM {
		stop()
	}
	d.fleet.Close()
}

// jobID returns the ID of the job with the given index.
func jobID(i int) string { return fmt.Sprintf("%016x", i+1) }

// runJob submits the job with the given index until an entry VM accepts it, and then
// queries its state until the job is done. Each call goes to the next entry VM in
// turn. runJob returns the time from the first call until the job was seen to be done,
// or zero if it was not done within jobTimeout.
func (d *jobsDeployment) runJob(ctx context.Context, i int) time.Duration {
	template := jobTemplates[i%len(jobTemplates)]
	body := string(platform.FormatJob(&ladderflow.Job{Payload: "cut the jacket", Steps: template.steps}))
	path, submitted, accepted := template.prefix+jobID(i), time.Now(), false
	for attempt := i; time.Since(submitted) < jobTimeout; attempt++ {
		address := d.callers[attempt%len(d.callers)]
		if !accepted {
			status, _, err := d.call(ctx, http.MethodPost, address, path, body)
			accepted = err == nil && status == http.StatusOK
		} else if status, answer, err := d.call(ctx, http.MethodGet, address, path, ""); err == nil && status == http.StatusOK {
			if state, err := platform.ParseState(answer); err == nil && state == ladderflow.Done {
				return time.Since(submitted)
			}
		}
		time.Sleep(jobPollInterval)
	}
	return 0
}

// call sends an HTTP request to the entry VM at the given callers' address, and
// returns the status and the body of the response.
func (d *jobsDeployment) call(ctx context.Context, method, address, path, body string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = jobsHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, data, err
}

// startedTwice returns the number of tasks of a job that were started more than once.
func (d *jobsDeployment) startedTwice(i int) int {
	tasks := 0
	for step := range 2 {
		for index := range 6 {
			starts := 0
			for _, worker := range d.workers {
				starts += worker.Starts(ladderflow.Task{Job: jobID(i), Step: step, Index: index})
			}
			if starts > 1 {
				tasks++
			}
		}
	}
	return tasks
}
