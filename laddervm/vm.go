package laddervm

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderdelegate"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderpeer"
	"lacewingladder/platform"
)

const (
	// dialTimeout bounds the opening of a connection. It is several times the longest latency
	// between regions and shorter than a status poll may take.
	dialTimeout = 400 * time.Millisecond
	// maxWorkerConnections is the maximum number of open connections to one worker: one for
	// the status poll that waits there and a few for orders. Each new connection costs the
	// worker a handshake, and orders that are sent to one worker at the same time can use the
	// same connection one after the other.
	maxWorkerConnections = 4
	// drainTime is how long a leaving VM continues to serve requests: the load balancer
	// checks a VM once a second and removes it after two failed checks.
	drainTime = 2500 * time.Millisecond
	// finishTime bounds the requests that are still in progress after that, and
	// leaseEndTimeout the call that ends the VM's lease.
	finishTime      = 2200 * time.Millisecond
	leaseEndTimeout = 300 * time.Millisecond
	// goroutineEndTimeout is how long a VM that stops waits for its goroutines.
	goroutineEndTimeout = 200 * time.Millisecond
	// drainPercent and finishPercent limit drainTime and finishTime to a part of the
	// platform's grace period, so that the rest of it is left for a slow VM.
	drainPercent  = 42
	finishPercent = 37
)

// Options configure a [VM].
type Options struct {
	Settings *platform.Settings
	Logs     *ladderlog.Loggers
	// MetricsPort is the port on which metrics and operator queries are served.
	MetricsPort uint16
	// Clock and Boot default to the system's clocks.
	Clock ladderclock.Clock
	Boot  ladderclock.BootClock
}

// VM is the scheduler on one entry VM. Create one with [New].
type VM struct {
	settings *platform.Settings
	clock    ladderclock.Clock
	boot     ladderclock.BootClock
	log      *ladderlog.Logger
	logs     *ladderlog.Loggers

	// direct makes calls to the platform's services, and workerDirect calls to workers.
	direct       *platform.Direct
	workerDirect *platform.Direct
	storeCarrier *storeCarrier
	store        *platform.Store
	workers      *platform.Workers
	advice       *platform.Advice
	machines     *platform.Machines
	journal      *ladderjournal.Journal

	keys     *keys
	registry *registry
	peers    *ladderpeer.Client
	server   *ladderpeer.Server
	// fleet is the current configuration, or nil, and configuredAt is when it was applied, in
	// nanoseconds since 1970.
	fleet        atomic.Pointer[ladderflow.FleetConfig]
	configuredAt atomic.Int64
	// waves holds the maintenance waves that the operators ordered, by number.
	wavesMu    sync.Mutex
	waves      map[int64]ladderflow.MaintenanceWave
	fleetFeed  *fleetFeed
	writer     *jobWriter
	intake     *intake
	late       *lateNotices
	leadership *leadership
	// delegate polls workers and sends orders on behalf of a leader that is another VM.
	delegate *ladderdelegate.Delegate
	stats    *stats
	// exchanges counts the exchanges with peers for the leader's log.
	exchanges exchangeCounts

	// metricsPort is the port of metrics and operator queries.
	metricsPort uint16
	// bounds holds the settings that may change while the VM runs.
	bounds  atomic.Pointer[platform.Bounds]
	leaving atomic.Bool
	// wait tracks the VM's goroutines.
	wait sync.WaitGroup
}

// New returns a VM that listens for peers. Callers, the load balancer and operators are
// served once Run is called.
func New(o Options) (*VM, error) {
	if o.Clock == nil {
		o.Clock = ladderclock.System{}
	}
	if o.Boot == nil {
		o.Boot = ladderclock.System{}
	}
	s := o.Settings
	v := &VM{
		waves: map[int64]ladderflow.MaintenanceWave{}, settings: s, metricsPort: o.MetricsPort, clock: o.Clock, boot: o.Boot,
		logs: o.Logs, log: o.Logs.RateLimited("vm", o.Clock), stats: newStats(),
	}
	v.bounds.Store(&s.Bounds)
	v.direct = platform.NewDirect(dialTimeout, 0)
	v.workerDirect = platform.NewDirect(dialTimeout, maxWorkerConnections)
	v.storeCarrier = newStoreCarrier(v)
	v.store = platform.NewStore(v.storeCarrier, s.StoreAddress)
	v.workers = platform.NewWorkers(newWorkerCarrier(v))
	v.advice = platform.NewAdvice(v.direct, s.AdviceAddress)
	v.machines = platform.NewMachines(v.direct, s.MachinesAddress)
	v.journal = ladderjournal.New(v.store)
	v.registry = newRegistry(v)
	v.fleetFeed = newFleetFeed(v)
	v.writer = newJobWriter(v)
	v.intake = newIntake(v)
	v.late = newLateNotices(v)
	v.leadership = newLeadership(v)
	v.delegate = ladderdelegate.New(v.workers, v.clock, v.boot, v.logs.RateLimited("delegate", v.clock))
	var err error
	if v.keys, err = newKeys(v.registry.trusted); err != nil {
		return nil, eris.Wrap(err, "make the VM's key")
	}
	address := netip.AddrPortFrom(s.Address, s.FirstPort)
	if v.server, err = ladderpeer.Listen(address, v.keys.server, peerHandler{v}); err != nil {
		return nil, err
	}
	v.peers = v.server.Client(v.keys.client)
	return v, nil
}

// Run serves until ctx ends, then hands over the leadership, finishes the requests in
// progress and stops.
func (v *VM) Run(ctx context.Context) error {
	v.log.Info("entry VM starts", "name", v.settings.Name, "zone", v.settings.Zone, "address", v.settings.Address)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer v.close()
	callers, err := v.serveHTTP(v.settings.CallerAddress, v.callerHandler())
	if err != nil {
		return err
	}
	balancer, err := v.serveHTTP(v.settings.ReadyAddress, http.HandlerFunc(v.serveReady))
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	operators, err := v.serveHTTP(netip.AddrPortFrom(v.settings.Address, v.metricsPort), v.operatorHandler())
	if err != nil {
		return errors.Join(err, callers.Close(), balancer.Close())
	}
	go func() {
		if err := v.server.Serve(serving); err != nil {
			v.log.Error("peer server failed; messages of peers are no longer answered", "err", err)
		}
	}()
	for _, f := range []func(context.Context){
		newStoreProbe(v.storeCarrier, v.settings.StoreAddress).run, v.fleetFeed.run, v.registry.watch, v.registry.keepRegistered, v.leadership.run, v.writer.run, v.late.run,
	} {
		v.wait.Go(func() { f(serving) })
	}
	<-ctx.Done()
	v.leaving.Store(true)
	v.log.Info("shutdown requested; the VM leaves")
	v.wait.Go(func() { v.registry.announceLeaving(serving) })
	v.wait.Go(v.leadership.resign)
	callers.SetKeepAlivesEnabled(false)
	drain, finish := shutdownTimes(v.bounds.Load().StopGrace)
	<-v.clock.After(drain)
	finishing, cancel := context.WithTimeout(context.WithoutCancel(ctx), finish)
	defer cancel()
	err = errors.Join(callers.Shutdown(finishing), balancer.Shutdown(finishing), operators.Shutdown(finishing))
	// The leader learns from the end of the session that it must assign the workers to others.
	v.delegate.Close()
	ending, done := context.WithTimeout(context.WithoutCancel(ctx), leaseEndTimeout)
	defer done()
	if err := v.registry.lease.end(ending); err != nil {
		v.log.Warn("lease of the VM's entry could not be ended; the entry expires with it", "err", err)
	}
	stop()
	v.log.Info("entry VM stopped", "err", err)
	return nil
}

// close ends the VM's connections to peers and waits for its goroutines, for at most
// goroutineEndTimeout.
func (v *VM) close() {
	v.delegate.Close()
	v.peers.Close()
	v.server.Close()
	ended := make(chan struct{})
	go func() {
		v.wait.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-v.clock.After(goroutineEndTimeout):
		v.log.Warn("goroutines still run as the VM stops", "after", goroutineEndTimeout)
	}
}

// shutdownTimes returns how long a leaving VM continues to serve, and how long the requests
// in progress may take after that. They are drainTime and finishTime if the platform states no
// grace period, which is then zero.
func shutdownTimes(grace time.Duration) (drain, finish time.Duration) {
	if grace <= 0 {
		return drainTime, finishTime
	}
	return min(drainTime, grace*drainPercent/100), min(finishTime, grace*finishPercent/100)
}

// httpServer is an HTTP server with its listener.
type httpServer struct {
	*http.Server
	listener net.Listener
}

// Close closes the server and its listener. The embedded server only knows the listener once
// its goroutine has begun to accept connections.
func (s *httpServer) Close() error {
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	return errors.Join(err, s.Server.Close())
}

// serveHTTP listens at an address and serves HTTP there on a goroutine.
func (v *VM) serveHTTP(address netip.AddrPort, h http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %v", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			v.log.Error("HTTP server failed; requests to this address are no longer answered", "address", address, "err", err)
		}
	}()
	return &httpServer{s, l}, nil
}

// serveReady answers the load balancer's check: 200 if the VM accepts new connections, 503 if
// it is leaving or has no configuration yet.
func (v *VM) serveReady(w http.ResponseWriter, _ *http.Request) {
	if v.leaving.Load() || v.fleet.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload applies settings that were read again while the VM runs. Only the bounds change, and
// only for the next term; the addresses stay.
func (v *VM) Reload(s *platform.Settings) {
	v.bounds.Store(&s.Bounds)
	v.log.Info("settings are read again")
}
