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
	// dialTime bounds the opening of a connection: several of the longest ways
	// between regions, and less than a look's time.
	dialTimeout = 400 * time.Millisecond
	// workerConnections is how many connections to one worker are open at most: one for
	// the look that waits there, and a few for orders. Each new one costs the worker a
	// handshake, and what starts together on one worker can come one after the other.
	maxWorkerConnections = 4
	// rotateTime is how long a leaving VM goes on serving: the balancer asks once
	// a second and takes a VM out after two misses.
	drainTime = 2500 * time.Millisecond
	// lastTime bounds the answers that are still under way after that, and endTime the
	// ending of the VM's lease.
	finishTime      = 2200 * time.Millisecond
	leaseEndTimeout = 300 * time.Millisecond
	// rotateShare and lastShare bound the first two by the platform's time of grace, in
	// hundredths, so that the rest of it is left for a slow VM.
	drainPercent  = 42
	finishPercent = 37
)

// Options are what a [VM] is made of.
type Options struct {
	Settings *platform.Settings
	Logs     *ladderlog.Logs
	// Metrics is the port on which metrics are served.
	Metrics uint16
	// Clock and Boot default to the system's.
	Clock ladderclock.Clock
	Boot  ladderclock.Boot
}

// VM is the scheduler on one entry VM. Create one with [New].
type VM struct {
	settings *platform.Settings
	clock    ladderclock.Clock
	boot     ladderclock.Boot
	log      *ladderlog.Logger
	logs     *ladderlog.Logs

	direct *platform.Direct
	// orders carries the calls to workers.
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
	fleet    atomic.Pointer[ladderflow.Fleet]
	// configuredAt is when the configuration in force was taken, in nanoseconds since 1970.
	configuredAt atomic.Int64
	wavesMu      sync.Mutex
	waves        map[int64]ladderflow.Wave
	writer       *jobWriter
	leadership   *leadership
	delegate     *ladderdelegate.Delegate
	stats        *stats

	metrics uint16
	bounds  atomic.Pointer[platform.Bounds]
	leaving atomic.Bool
	wait    sync.WaitGroup
}

// New returns a VM whose addresses are open.
func New(o Options) (*VM, error) {
	if o.Clock == nil {
		o.Clock = ladderclock.System{}
	}
	if o.Boot == nil {
		o.Boot = ladderclock.System{}
	}
	s := o.Settings
	v := &VM{waves: map[int64]ladderflow.Wave{}, settings: s, metrics: o.Metrics, clock: o.Clock, boot: o.Boot, logs: o.Logs, log: o.Logs.Limited("vm", o.Clock), stats: newStats()}
	v.bounds.Store(&s.Bounds)
	v.direct = platform.NewDirect(dialTimeout, 0)
	v.workerDirect = platform.NewDirect(dialTimeout, maxWorkerConnections)
	v.storeCarrier = newStoreCarrier(v)
	v.store = platform.NewStore(v.storeCarrier, s.Store)
	v.workers = platform.NewWorkers(newWorkerCarrier(v))
	v.advice = platform.NewAdvice(v.direct, s.Advice)
	v.machines = platform.NewMachines(v.direct, s.Machines)
	v.journal = ladderjournal.New(v.store)
	v.registry = newRegistry(v)
	v.writer = newJobWriter(v)
	v.leadership = newLeadership(v)
	v.delegate = ladderdelegate.New(v.workers, v.clock, v.boot, v.logs.Limited("delegate", v.clock))
	var err error
	if v.keys, err = newKeys(v.registry.trusted); err != nil {
		return nil, eris.Wrap(err, "make the VM's key")
	}
	address := netip.AddrPortFrom(s.Address, s.FirstPort)
	if v.server, err = ladderpeer.Listen(address, v.keys.server, handler{v}); err != nil {
		return nil, err
	}
	v.peers = v.server.Client(v.keys.client)
	return v, nil
}

// Run serves until ctx ends, then answers what was read and hands over.
func (v *VM) Run(ctx context.Context) error {
	v.log.Info("starts", "name", v.settings.Name, "zone", v.settings.Zone, "address", v.settings.Address)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := v.serveHTTP(v.settings.Callers, v.callerHandler())
	if err != nil {
		return err
	}
	balancer, err := v.serveHTTP(v.settings.Ready, http.HandlerFunc(v.serveReady))
	if err != nil {
		return err
	}
	operators, err := v.serveHTTP(netip.AddrPortFrom(v.settings.Address, v.metrics), v.operatorHandler())
	if err != nil {
		return err
	}
	go func() {
		if err := v.server.Serve(serving); err != nil {
			v.log.Error("peers are not served any more", "err", err)
		}
	}()
	for _, f := range []func(context.Context){
		v.watchOperators, v.registry.watch, v.registry.keep, v.leadership.run, v.writer.run,
	} {
		v.wait.Go(func() { f(serving) })
	}
	<-ctx.Done()
	v.leaving.Store(true)
	v.log.Info("is told to leave")
	v.wait.Go(v.leadership.resign)
	callers.SetKeepAlivesEnabled(false)
	drain, answer := shutdownTimes(v.bounds.Load().Grace)
	<-v.clock.After(drain)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), answer)
	defer cancel()
	err = errors.Join(callers.Shutdown(last), balancer.Shutdown(last), operators.Shutdown(last))
	ending, done := context.WithTimeout(context.WithoutCancel(ctx), leaseEndTimeout)
	defer done()
	if err := v.registry.lease.end(ending); err != nil {
		v.log.Warn("entry is left to lapse", "err", err)
	}
	stop()
	v.delegate.Close()
	v.peers.Close()
	v.server.Close()
	v.log.Info("stops", "err", err)
	return nil
}

// leaveTimes returns for how long a leaving VM goes on serving, and how long the answers
// under way may take then. A platform that states no grace gives enough.
func shutdownTimes(grace time.Duration) (drain, answer time.Duration) {
	if grace <= 0 {
		return drainTime, finishTime
	}
	return min(drainTime, grace*drainPercent/100), min(finishTime, grace*finishPercent/100)
}

// listen serves HTTP at an address.
func (v *VM) serveHTTP(address netip.AddrPort, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %v", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			v.log.Error("callers are not served any more", "address", address, "err", err)
		}
	}()
	return s, nil
}

// serveReady tells the balancer whether the VM takes new connections.
func (v *VM) serveReady(w http.ResponseWriter, _ *http.Request) {
	if v.leaving.Load() || v.fleet.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload takes over settings that may have changed while the VM runs: its bounds,
// which the next term uses. Its addresses stay.
func (v *VM) Reload(s *platform.Settings) {
	v.bounds.Store(&s.Bounds)
	v.log.Info("settings are read again")
}
