package ladderdemo

import (
	"context"
	_ "embed" // for fleet.yaml
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lacewingladder/laddercert"
	"lacewingladder/ladderclock"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderkey"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
	"lacewingladder/ladderplatform"
	"lacewingladder/ladderserver"
	"lacewingladder/laddersettings"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// Token is the bearer token that operators of the demo's fleet must present.
const Token = "demo"

// readyTimeout is the time within which a fleet must become ready.
const readyTimeout = 15 * time.Second

// document is the configuration of the demo's fleet.
//
//go:embed fleet.yaml
var document string

// Document returns the configuration of the demo's fleet as YAML text.
func Document() string { return document }

// Options are the options of a [Fleet].
type Options struct {
	// Dir is a directory for the certificates and keys of the entry VMs.
	Dir string
	// EntriesPerZone is the number of entry VMs in each zone. Zero means two.
	EntriesPerZone int
	// WorkersPerRack is the number of workers in each rack. Zero means the number of seats
	// that the configuration states for the rack.
	WorkersPerRack int
	// Rule is the rule by which an entry VM chooses the holder for a request. A
	// holder is an entry VM with claims on workers.
	Rule ladderplacement.RackRule
	// Logs receives the log lines of the entry VMs. If it is nil, they are discarded.
	Logs *ladderlog.Loggers
}

// Fleet is a running deployment. Create one with [Start].
type Fleet struct {
	// Platform is the stand-in for the platform.
	Platform *ladderstand.Platform
	// Workers holds the stand-ins for the workers.
	Workers []*ladderstand.WorkerServer
	// Entries holds the entry VMs.
	Entries []*Entry

	// platformAddress is where the platform serves the store and the list of VMs.
	platformAddress netip.AddrPort
	// stop begins to drain all entry VMs.
	stop context.CancelFunc
	// httpServers holds the servers of the stand-ins.
	httpServers []*http.Server
	// running waits for all entry VMs and HTTP servers of the fleet.
	running sync.WaitGroup
}

// Entry is a running entry VM.
type Entry struct {
	Settings *laddersettings.Settings
	Server   *ladderserver.Server
	// stop begins to drain the entry VM.
	stop context.CancelFunc
	// done is closed when the entry VM has ended. After that, err is its error.
	done chan struct{}
	err  error
}

// Stop drains the entry VM, waits until it has ended and returns its error.
func (e *Entry) Stop() error {
	e.stop()
	<-e.done
	return e.err
}

// Start starts a fleet and waits until it is ready for requests. Call [Fleet.Close]
// to stop it. When ctx is done, the entry VMs begin to drain.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	config, err := ladderconfig.Parse("fleet.yaml", []byte(document))
	if err != nil {
		return nil, err
	}
	if o.Logs == nil {
		o.Logs = ladderlog.Discard()
	}
	fleetCtx, stop := context.WithCancel(ctx)
	f := &Fleet{Platform: ladderstand.NewPlatform(ladderclock.System{}), stop: stop}
	if f.platformAddress, err = f.serve(f.Platform.Handler()); err != nil {
		stop()
		return nil, eris.Wrap(err, "start the platform")
	}
	if err := f.startWorkers(config, o); err != nil {
		f.Close()
		return nil, eris.Wrap(err, "start the workers")
	}
	if err := f.startEntries(fleetCtx, config, o); err != nil {
		f.Close()
		return nil, eris.Wrap(err, "start the entry VMs")
	}
	if err := f.publish(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.awaitReady(ctx, config); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// serve starts an HTTP server for the handler on a free port of the loopback
// interface, and returns its address.
func (f *Fleet) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := ladderstand.NewHTTPServer(h)
	f.httpServers = append(f.httpServers, server)
	f.running.Go(func() { _ = server.Serve(l) })
	return netip.ParseAddrPort(l.Addr().String())
}

// workerSize is the capacity of each of the demo's workers.
var workerSize = laddermodel.Size{Slots: 8, Millicores: 32_000, Memory: 64 << 30}

// startWorkers starts the workers of all racks.
func (f *Fleet) startWorkers(c *ladderconfig.Config, o Options) error {
	for _, zone := range c.Zones {
		for _, rack := range zone.Racks {
			count := rack.Seats
			if o.WorkersPerRack > 0 {
				count = o.WorkersPerRack
			}
			for i := range count {
				if err := f.startWorker(zone, rack.Name, fmt.Sprintf("%s-w%d", rack.Name, i+1)); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// startWorker starts one worker and adds it to the platform's list of VMs.
func (f *Fleet) startWorker(zone ladderconfig.Zone, rack, name string) error {
	server := ladderstand.NewWorkerServer(ladderstand.NewWorker(ladderclock.System{}, ladderstand.Spec{
		Name: name, Region: zone.Region, Zone: zone.Name, Rack: rack, Size: workerSize, Boot: uint64(len(f.Workers)) + 1,
	}))
	address, err := f.serve(server.Handler())
	if err != nil {
		return err
	}
	f.Workers = append(f.Workers, server)
	f.Platform.SetVM(ladderplatform.VM{
		Name: name, Role: "worker", Region: zone.Region, Zone: zone.Name, Rack: rack, Address: address.String(),
		Slots: workerSize.Slots, Millicores: workerSize.Millicores, Memory: workerSize.Memory,
	})
	return nil
}

// startEntries creates the certificates of the entry VMs and starts the VMs.
func (f *Fleet) startEntries(ctx context.Context, c *ladderconfig.Config, o Options) error {
	perZone := o.EntriesPerZone
	if perZone == 0 {
		perZone = 2
	}
	var settings []*laddersettings.Settings
	var names []string
	keyDir := filepath.Join(o.Dir, "keys")
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	for _, zone := range c.Zones {
		for i := range perZone {
			name := fmt.Sprintf("%s-e%d", zone.Name, i+1)
			names = append(names, name)
			settings = append(settings, &laddersettings.Settings{
				Name: name, Region: zone.Region, Zone: zone.Name,
				Listen: laddersettings.Listen{Callers: loopback, Peers: loopback, Operators: loopback},
				Store:  f.platformAddress, VMList: f.platformAddress, TLS: laddercert.Paths(keyDir, name), OperatorToken: Token,
			})
		}
	}
	if err := laddercert.Generate(keyDir, names, []netip.Addr{loopback.Addr()}, time.Now()); err != nil {
		return err
	}
	for _, s := range settings {
		if err := f.startEntry(ctx, s, o); err != nil {
			return err
		}
	}
	return nil
}

// startEntry starts one entry VM and adds it to the platform's list of VMs.
func (f *Fleet) startEntry(ctx context.Context, s *laddersettings.Settings, o Options) error {
	tls, err := laddercert.Load(s.TLS)
	if err != nil {
		return err
	}
	server, err := ladderserver.New(ladderserver.Options{Settings: s, TLS: tls, Logs: o.Logs, Rule: o.Rule})
	if err != nil {
		return err
	}
	address, err := server.PeerAddress()
	if err != nil {
		return err
	}
	f.Platform.SetVM(ladderplatform.VM{
		Name: s.Name, Role: "entry", Region: s.Region, Zone: s.Zone, Address: address.String(),
	})
	entryCtx, stop := context.WithCancel(ctx)
	e := &Entry{Settings: s, Server: server, stop: stop, done: make(chan struct{})}
	f.Entries = append(f.Entries, e)
	f.running.Go(func() {
		defer close(e.done)
		e.err = server.Run(entryCtx)
	})
	return nil
}

// publish writes the configuration to the platform's store.
func (f *Fleet) publish() error {
	value, err := ladderserver.EncodeVersion(ladderconfig.Version{
		Number: 1, ChangeID: "first", Operator: "demo", Document: document,
	})
	if err != nil {
		return err
	}
	reply := f.Platform.Store().Txn(platform.Txn{
		Writes: []platform.Write{{Key: ladderserver.ConfigKey, Value: value}},
	})
	if !reply.Committed {
		return errors.New("the configuration was not taken")
	}
	return nil
}

// awaitReady waits until every entry VM knows a home for each rack. The home of a
// rack is the entry VM that keeps the records of the idempotency keys assigned to
// the rack (see package ladderclaim).
func (f *Fleet) awaitReady(ctx context.Context, c *ladderconfig.Config) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		ready := true
		for _, e := range f.Entries {
			ready = ready && e.Server.HomeCount(ctx) == len(c.SeatsByRack())
		}
		if ready {
			// For some time, a new home accepts only keys that were generated more than
			// 2*MaxClockSkew after it became the home. After this pause, that is true
			// of all newly generated keys.
			time.Sleep(2*ladderkey.MaxClockSkew + 100*time.Millisecond)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the fleet did not become ready in time")
}

// Callers returns the addresses at which the entry VMs accept callers.
func (f *Fleet) Callers() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, e := range f.Entries {
		addresses = append(addresses, e.Server.CallerAddress())
	}
	return addresses
}

// Operators returns the addresses at which the entry VMs accept operators.
func (f *Fleet) Operators() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, e := range f.Entries {
		addresses = append(addresses, e.Server.OperatorAddress())
	}
	return addresses
}

// Slots returns the total number of slots of all workers.
func (f *Fleet) Slots() int { return len(f.Workers) * workerSize.Slots }

// OverCapacityStarts returns the number of starts that exceeded the capacity of a worker.
func (f *Fleet) OverCapacityStarts() int {
	starts := 0
	for _, w := range f.Workers {
		starts += w.Worker().OverCapacity()
	}
	return starts
}

// Close drains the entry VMs and waits until they have ended, then stops the
// stand-ins.
func (f *Fleet) Close() {
	f.stop()
	for _, e := range f.Entries {
		<-e.done
	}
	for _, server := range f.httpServers {
		_ = server.Close()
	}
	f.running.Wait()
}
