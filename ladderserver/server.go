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

// initialClaimLease is the lease of claims on workers until a configuration sets
// another one.
const initialClaimLease = 3 * time.Second

// Options configure a [Server].
type Options struct {
	Settings *laddersettings.Settings
	TLS      *tls.Config
	Logs     *ladderlog.Loggers
	// Clock defaults to the system clock.
	Clock ladderclock.Clock
	// Rule is the rule by which the rack for a request is selected. The request is
	// sent to the rack's holder, the entry VM that has claims on its workers.
	Rule ladderplacement.RackRule
}

// Server is the scheduler on one entry VM. Create one with [New].
type Server struct {
	settings *laddersettings.Settings
	clock    ladderclock.Clock
	logs     *ladderlog.Loggers
	// incarnation identifies this run of the process.
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

	// members, listing and the four fields after them belong to the control
	// goroutine. listing is the platform's latest list of VMs.
	members *laddermember.Members
	listing laddermodel.Listing
	// handingOver holds the racks whose handover to a peer is in progress.
	handingOver map[string]bool
	// lastLive holds the peers that were live in the previous control cycle.
	lastLive map[string]bool
	// announcedHomes names the racks of which this VM was the home in its last
	// heartbeats. A rack's home is the VM that keeps the records of the rack's
	// idempotency keys.
	announcedHomes string
	// releasable holds the racks whose claims may be released.
	releasable map[string]bool
	// controlFuncs carries functions for the control goroutine to run.
	controlFuncs chan func()
	// ready is true while the VM accepts callers' requests.
	ready atomic.Bool
	// draining is true once the VM has begun to drain. drainRequested is closed,
	// once only, when an operator requests a drain.
	draining       atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once
	// background counts the short-lived goroutines, such as those that send
	// heartbeats or start tasks.
	background sync.WaitGroup
	// claimCalls counts the calls to workers that renew or release claims.
	claimCalls sync.WaitGroup
	// storeReachable is true when the last read of the leader or configuration
	// key, or the last renewal of the leader's lease, got an answer.
	storeReachable atomic.Bool
}

// listener is an HTTP server and its listening socket.
type listener struct {
	net  net.Listener
	http *http.Server
}

// New returns a server that listens on its addresses. [Server.Run] serves them.
func New(o Options) (*Server, error) {
	if o.Clock == nil {
		o.Clock = ladderclock.System{}
	}
	s := &Server{
		settings: o.Settings, clock: o.Clock, logs: o.Logs,
		incarnation:    ulid.MustNew(ulid.Timestamp(o.Clock.Now()), rand.Reader).String(),
		store:          newStore(o.Settings.Store),
		lister:         ladderplatform.NewLister(o.Settings.VMList),
		workers:        ladderworker.NewClient(),
		controlFuncs:   make(chan func(), 1024),
		drainRequested: make(chan struct{}),
		handingOver:    map[string]bool{},
		releasable:     map[string]bool{},
	}
	seed := mathrand.Uint64()
	settings := o.Settings
	s.holder = ladderholder.New(settings.Name, s.incarnation, initialClaimLease, seed, o.Logs.Component("holder"))
	var err error
	if s.peerServer, err = ladderpeer.Listen(settings.Listen.Peers, o.TLS, s); err != nil {
		s.close()
		return nil, err
	}
	s.peers = newPeers(s.peerServer.Client(o.TLS), o.Logs.Component("peer"))
	s.dispatch = ladderdispatch.New(ladderdispatch.Options{
		Name: settings.Name, Region: settings.Region, Zone: settings.Zone, Clock: o.Clock, Holder: s.holder,
		Peers: s.peers, Workers: s.workers, Log: o.Logs.Component("dispatch"), Seed: seed, Rule: o.Rule,
	})
	s.config = newConfiguration(s)
	s.jobs = newJobs(s)
	s.leader = newLeader(s)
	s.gate = laddergate.New(laddergate.Options{
		Zone: settings.Zone, Clock: o.Clock, Requests: s.dispatch, Jobs: s.jobs, Config: s.config.current,
		Ready: s.isReady, Tokens: settings.CallerTokens, Entropy: rand.Reader, Log: o.Logs.Component("gate"),
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
	s.members.SetSeeds(settings.SeedPeers)
	return s, nil
}

// listen opens the sockets for callers and operators.
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

// The limits on HTTP connections of callers and operators.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// listenHTTP opens a socket and returns it with a server that is not started yet.
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

// CallerAddress returns the address at which the server listens for callers.
func (s *Server) CallerAddress() netip.AddrPort { return s.callers.address() }

// OperatorAddress returns the address at which the server listens for operators.
func (s *Server) OperatorAddress() netip.AddrPort { return s.operators.address() }

// PeerAddress returns the address at which the server listens for peers.
func (s *Server) PeerAddress() (netip.AddrPort, error) { return s.peerServer.Address() }

// ownEntryVM returns the description of this entry VM that its peers receive. The
// advertised address, if set, replaces the address of the socket.
func (s *Server) ownEntryVM() (laddermodel.EntryVM, error) {
	address, err := s.peerServer.Address()
	if err != nil {
		return laddermodel.EntryVM{}, err
	}
	if s.settings.Listen.Advertise.IsValid() {
		address = s.settings.Listen.Advertise
	}
	return laddermodel.EntryVM{
		Name: s.settings.Name, Region: s.settings.Region, Zone: s.settings.Zone, PeerAddress: address,
	}, nil
}

// Run serves until ctx ends, an operator drains the VM, or a listener fails. It
// then lets open requests finish, hands its racks over to peers, and returns.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wait sync.WaitGroup
	failed := make(chan error, 3)
	wait.Go(func() { failed <- s.peerServer.Serve(serveCtx) })
	wait.Go(func() { failed <- serveHTTP(s.callers) })
	wait.Go(func() { failed <- serveHTTP(s.operators) })
	wait.Go(func() { s.controlLoop(serveCtx) })
	wait.Go(func() { s.peers.releaseLoop(serveCtx) })
	wait.Go(func() { s.jobs.commitLoop(serveCtx) })
	wait.Go(func() { s.leader.loop(serveCtx) })
	wait.Go(func() { s.preemptLoop(serveCtx) })
	wait.Go(func() { s.config.watchLoop(serveCtx) })
	s.logs.Component("server").Info("serving", "name", s.settings.Name, "zone", s.settings.Zone,
		"callers", s.CallerAddress(), "incarnation", s.incarnation)
	var err error
	select {
	case <-ctx.Done():
	case <-s.drainRequested:
	case err = <-failed:
	}
	s.drain(serveCtx)
	stop()
	wait.Wait()
	s.background.Wait()
	s.claimCalls.Wait()
	return err
}

// serveHTTP serves a listener until its server is shut down.
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
	s.store.carrier.direct.DropConnections(s.settings.Store)
	s.lister.Close()
	if s.peerServer != nil {
		s.peerServer.Close()
	}
}

// isReady reports whether this VM accepts callers' requests.
func (s *Server) isReady() bool { return s.ready.Load() }

// runOnControl queues a function for the control goroutine. It gives up when ctx
// ends.
func (s *Server) runOnControl(ctx context.Context, f func()) {
	select {
	case s.controlFuncs <- f:
	case <-ctx.Done():
	}
}

// runOnControlAndWait runs a function on the control goroutine and returns when
// the function has returned or ctx ends.
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
