package ladderserver

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderdispatch"
	"lacewingladder/laddergate"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermember"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderpeer"
	"lacewingladder/ladderplacement"
	"lacewingladder/ladderplatform"
	"lacewingladder/laddersettings"
	"lacewingladder/ladderworker"
)

// bootLease is the lease of claims before a configuration states another.
const initialClaimLease = 3 * time.Second

// Options are what a [Server] is made of.
type Options struct {
	Settings *laddersettings.Settings
	TLS      *tls.Config
	Logs     *ladderlog.Logs
	// Clock defaults to the system's.
	Clock ladderclock.Clock
	// Rule is how holders are chosen for requests.
	Rule ladderplacement.Rule
}

// Server is the scheduler on one entry VM. Create one with [New].
type Server struct {
	settings    *laddersettings.Settings
	clock       ladderclock.Clock
	logs        *ladderlog.Logs
	incarnation string

	store    *store
	lister   *ladderplatform.Lister
	workers  *ladderworker.Client
	peers    *peers
	holder   *ladderholder.Holder
	dispatch *ladderdispatch.Dispatcher
	gate     *laddergate.Gate
	jobs     *jobs
	leader   *leader
	config   *configuration

	peerServer *ladderpeer.Server
	metrics    *metrics.Set
	callers    *listener
	operators  *listener

	// members and listing belong to the control goroutine.
	members *laddermember.Members
	listing laddermodel.Listing
	// moving and moved hold the racks that are being given up, and those whose
	// claims may be released. They belong to the control goroutine.
	handingOver map[string]bool
	// live holds the peers that were live at the last turn.
	lastLive map[string]bool
	// homes names the racks of which the peers know this VM to be the home.
	announcedHomes string
	releasable     map[string]bool
	// control takes functions that the control goroutine runs.
	controlFuncs chan func()
	ready        atomic.Bool
	// leaving is true once the VM drains.
	draining       atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once
	// background counts the goroutines that carry the control loop's messages.
	background sync.WaitGroup
	// claimCalls counts the calls to workers about claims.
	claimCalls     sync.WaitGroup
	storeReachable atomic.Bool
}

// listener is an HTTP server with its open socket.
type listener struct {
	net  net.Listener
	http *http.Server
}

// New opens a server's addresses.
func New(o Options) (*Server, error) {
	if o.Clock == nil {
		o.Clock = ladderclock.System{}
	}
	s := &Server{
		settings: o.Settings, clock: o.Clock, logs: o.Logs,
		incarnation:    ulid.MustNew(ulid.Timestamp(o.Clock.Now()), rand.Reader).String(),
		store:          newStore(o.Settings.Store),
		lister:         ladderplatform.NewLister(o.Settings.List),
		workers:        ladderworker.NewClient(),
		controlFuncs:   make(chan func(), 1024),
		drainRequested: make(chan struct{}),
		handingOver:    map[string]bool{},
		releasable:     map[string]bool{},
	}
	seed := mathrand.Uint64()
	set := o.Settings
	s.holder = ladderholder.New(set.Name, s.incarnation, initialClaimLease, seed, o.Logs.Part("holder"))
	var err error
	if s.peerServer, err = ladderpeer.Listen(set.Listen.Peers, o.TLS, s); err != nil {
		s.close()
		return nil, err
	}
	s.peers = newPeers(s.peerServer.Client(o.TLS), o.Logs.Part("peer"))
	s.dispatch = ladderdispatch.New(ladderdispatch.Options{
		Name: set.Name, Region: set.Region, Zone: set.Zone, Clock: o.Clock, Room: s.holder, Peers: s.peers,
		Workers: s.workers, Log: o.Logs.Part("dispatch"), Seed: seed, Rule: o.Rule,
	})
	s.config = newConfiguration(s)
	s.jobs = newJobs(s)
	s.leader = newLeader(s)
	s.gate = laddergate.New(laddergate.Options{
		Zone: set.Zone, Clock: o.Clock, Requests: s.dispatch, Jobs: s.jobs, Config: s.config.current,
		Ready: s.isReady, Tokens: set.Tokens, Entropy: rand.Reader, Log: o.Logs.Part("gate"),
	})
	if err := s.listen(); err != nil {
		s.close()
		return nil, err
	}
	s.metrics = newMetrics(s)
	self, err := s.ownEntryVM()
	if err != nil {
		s.close()
		return nil, err
	}
	s.members = laddermember.New(self, o.Clock.Now())
	s.members.SetSeeds(set.Peers)
	return s, nil
}

// listen opens the addresses for callers and operators.
func (s *Server) listen() error {
	var err error
	if s.callers, err = listenHTTP(s.settings.Listen.Callers, s.gate.Handler()); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if s.operators, err = listenHTTP(s.settings.Listen.Operators, s.operatorHandler()); err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	return nil
}

// The limits on callers' connections.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

func listenHTTP(address netip.AddrPort, h http.Handler) (*listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &listener{net: l, http: &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}}, nil
}

func (l *listener) address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(l.net.Addr().String())
	return a
}

// Callers returns the address on which callers are served.
func (s *Server) Callers() netip.AddrPort { return s.callers.address() }

// Operators returns the address on which operators are served.
func (s *Server) Operators() netip.AddrPort { return s.operators.address() }

// Peers returns the address on which peers are served.
func (s *Server) Peers() (netip.AddrPort, error) { return s.peerServer.Address() }

// ownEntryVM describes this entry VM to its peers.
func (s *Server) ownEntryVM() (laddermodel.EntryVM, error) {
	address, err := s.peerServer.Address()
	if err != nil {
		return laddermodel.EntryVM{}, err
	}
	if s.settings.Listen.Advertise.IsValid() {
		address = s.settings.Listen.Advertise
	}
	return laddermodel.EntryVM{
		Name: s.settings.Name, Region: s.settings.Region, Zone: s.settings.Zone, Peers: address,
	}, nil
}

// Run serves until ctx ends or an operator drains the VM. It then interrupts no
// request under way, hands over what it holds, and returns.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wait sync.WaitGroup
	failed := make(chan error, 3)
	wait.Go(func() { failed <- s.peerServer.Serve(serving) })
	wait.Go(func() { failed <- serveHTTP(s.callers) })
	wait.Go(func() { failed <- serveHTTP(s.operators) })
	wait.Go(func() { s.controlLoop(serving) })
	wait.Go(func() { s.peers.releaseLoop(serving) })
	wait.Go(func() { s.jobs.commitLoop(serving) })
	wait.Go(func() { s.leader.loop(serving) })
	wait.Go(func() { s.preemptLoop(serving) })
	wait.Go(func() { s.config.watchLoop(serving) })
	s.logs.Part("server").Info("serving", "name", s.settings.Name, "zone", s.settings.Zone,
		"callers", s.Callers(), "incarnation", s.incarnation)
	var err error
	select {
	case <-ctx.Done():
	case <-s.drainRequested:
	case err = <-failed:
	}
	s.drain(serving)
	stop()
	wait.Wait()
	s.background.Wait()
	s.claimCalls.Wait()
	return err
}

func serveHTTP(l *listener) error {
	if err := l.http.Serve(l.net); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %v: %w", l.address(), err)
	}
	return nil
}

// close releases sockets and connections.
func (s *Server) close() {
	for _, l := range []*listener{s.callers, s.operators} {
		if l != nil {
			_ = l.http.Close()
			_ = l.net.Close()
		}
	}
	if s.peers != nil {
		s.peers.client.Close()
	}
	s.workers.Close()
	s.store.carrier.direct.Forget(s.settings.Store)
	s.lister.Close()
	if s.peerServer != nil {
		s.peerServer.Close()
	}
}

// isReady reports whether this VM wants callers' requests.
func (s *Server) isReady() bool { return s.ready.Load() }

// runOnControl runs a function on the control goroutine, unless the server has stopped.
func (s *Server) runOnControl(ctx context.Context, f func()) {
	select {
	case s.controlFuncs <- f:
	case <-ctx.Done():
	}
}

// runOnControlAndWait runs a function on the control goroutine and waits for it.
func (s *Server) runOnControlAndWait(ctx context.Context, f func()) {
	done := make(chan struct{})
	s.runOnControl(ctx, func() {
		f()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
