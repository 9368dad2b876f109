package ladderdemo

import (
	"context"
	_ "embed" // for the configuration
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

// Token is the operators' token of a demo's fleet.
const Token = "demo"

// readyTime bounds the start of a fleet.
const readyTime = 15 * time.Second

// document is the fleet's configuration.
//
//go:embed fleet.yaml
var document string

// Document returns the configuration of the demo's fleet.
func Document() string { return document }

// Options are what a [Fleet] is made of.
type Options struct {
	// Dir is a directory for keys.
	Dir string
	// Entries is the number of entry VMs in each zone; zero means two.
	Entries int
	// Workers is the number of workers in each rack; zero means as many as the
	// configuration has seats.
	Workers int
	// Rule is how holders are chosen for requests.
	Rule ladderplacement.Rule
	Logs *ladderlog.Logs
}

// Fleet is a running deployment. Create one with [Start].
type Fleet struct {
	Platform *ladderstand.Platform
	Workers  []*ladderstand.Server
	Entries  []*Entry

	platform netip.AddrPort
	stop     context.CancelFunc
	http     []*http.Server
	wait     sync.WaitGroup
}

// Entry is a running entry VM.
type Entry struct {
	Settings *laddersettings.Settings
	Server   *ladderserver.Server
	stop     context.CancelFunc
	done     chan struct{}
	err      error
}

// Stop drains the entry VM and waits for its end.
func (e *Entry) Stop() error {
	e.stop()
	<-e.done
	return e.err
}

// Start starts a fleet and waits until it serves.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	config, err := ladderconfig.Parse("fleet.yaml", []byte(document))
	if err != nil {
		return nil, err
	}
	if o.Logs == nil {
		o.Logs = ladderlog.Discard()
	}
	running, stop := context.WithCancel(ctx)
	f := &Fleet{Platform: ladderstand.NewPlatform(ladderclock.System{}), stop: stop}
	if f.platform, err = f.serve(f.Platform.Handler()); err != nil {
		stop()
		return nil, eris.Wrap(err, "start the platform")
	}
	if err := f.startWorkers(config, o); err != nil {
		f.Close()
		return nil, eris.Wrap(err, "start the workers")
	}
	if err := f.startEntries(running, config, o); err != nil {
		f.Close()
		return nil, eris.Wrap(err, "start the entry VMs")
	}
	if err := f.publish(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.await(ctx, config); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// serve serves a handler on a free port of loopback.
func (f *Fleet) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := ladderstand.NewHTTP(h)
	f.http = append(f.http, server)
	f.wait.Go(func() { _ = server.Serve(l) })
	return netip.ParseAddrPort(l.Addr().String())
}

// workerSize is the size of the demo's workers.
var workerSize = laddermodel.Size{Slots: 8, Millicores: 32_000, Memory: 64 << 30}

func (f *Fleet) startWorkers(c *ladderconfig.Config, o Options) error {
	for _, z := range c.Zones {
		for _, r := range z.Racks {
			count := r.Seats
			if o.Workers > 0 {
				count = o.Workers
			}
			for i := range count {
				if err := f.startWorker(z, r.Name, fmt.Sprintf("%s-w%d", r.Name, i+1)); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (f *Fleet) startWorker(z ladderconfig.Zone, rack, name string) error {
	server := ladderstand.NewServer(ladderstand.NewWorker(ladderclock.System{}, ladderstand.Spec{
		Name: name, Region: z.Region, Zone: z.Name, Rack: rack, Size: workerSize, Boot: uint64(len(f.Workers)) + 1,
	}))
	address, err := f.serve(server.Handler())
	if err != nil {
		return err
	}
	f.Workers = append(f.Workers, server)
	f.Platform.SetVM(ladderplatform.VM{
		Name: name, Role: "worker", Region: z.Region, Zone: z.Name, Rack: rack, Address: address.String(),
		Slots: workerSize.Slots, Millicores: workerSize.Millicores, Memory: workerSize.Memory,
	})
	return nil
}

func (f *Fleet) startEntries(ctx context.Context, c *ladderconfig.Config, o Options) error {
	perZone := o.Entries
	if perZone == 0 {
		perZone = 2
	}
	var all []*laddersettings.Settings
	var names []string
	keys := filepath.Join(o.Dir, "keys")
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	for _, z := range c.Zones {
		for i := range perZone {
			name := fmt.Sprintf("%s-e%d", z.Name, i+1)
			names = append(names, name)
			all = append(all, &laddersettings.Settings{
				Name: name, Region: z.Region, Zone: z.Name,
				Listen: laddersettings.Listen{Callers: loopback, Peers: loopback, Operators: loopback},
				Store:  f.platform, List: f.platform, TLS: laddercert.Paths(keys, name), Token: Token,
			})
		}
	}
	if err := laddercert.Make(keys, names, []netip.Addr{loopback.Addr()}, time.Now()); err != nil {
		return err
	}
	for _, s := range all {
		if err := f.startEntry(ctx, s, o); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEntry(ctx context.Context, s *laddersettings.Settings, o Options) error {
	tls, err := laddercert.Load(s.TLS)
	if err != nil {
		return err
	}
	server, err := ladderserver.New(ladderserver.Options{Settings: s, TLS: tls, Logs: o.Logs, Rule: o.Rule})
	if err != nil {
		return err
	}
	address, err := server.Peers()
	if err != nil {
		return err
	}
	f.Platform.SetVM(ladderplatform.VM{
		Name: s.Name, Role: "entry", Region: s.Region, Zone: s.Zone, Address: address.String(),
	})
	running, stop := context.WithCancel(ctx)
	e := &Entry{Settings: s, Server: server, stop: stop, done: make(chan struct{})}
	f.Entries = append(f.Entries, e)
	f.wait.Go(func() {
		defer close(e.done)
		e.err = server.Run(running)
	})
	return nil
}

// publish puts the configuration into the platform's store.
func (f *Fleet) publish() error {
	value, err := ladderserver.EncodeVersion(ladderconfig.Version{
		Number: 1, Change: "first", By: "demo", Document: document,
	})
	if err != nil {
		return err
	}
	reply := f.Platform.Store().Txn(platform.Txn{
		Writes: []platform.Write{{Key: ladderserver.ConfigKey, Value: value}},
	})
	if !reply.Done {
		return errors.New("the configuration was not taken")
	}
	return nil
}

// await waits until every rack has a home and every entry VM knows of it.
func (f *Fleet) await(ctx context.Context, c *ladderconfig.Config) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for ctx.Err() == nil {
		ready := true
		for _, e := range f.Entries {
			ready = ready && e.Server.Homes(ctx) == len(c.Seats())
		}
		if ready {
			// Keys that are minted from now on are known to be new.
			time.Sleep(2*ladderkey.Skew + 100*time.Millisecond)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the fleet did not become ready in time")
}

// Callers returns the callers' addresses of the entry VMs.
func (f *Fleet) Callers() []netip.AddrPort {
	var all []netip.AddrPort
	for _, e := range f.Entries {
		all = append(all, e.Server.Callers())
	}
	return all
}

// Operators returns the operators' addresses of the entry VMs.
func (f *Fleet) Operators() []netip.AddrPort {
	var all []netip.AddrPort
	for _, e := range f.Entries {
		all = append(all, e.Server.Operators())
	}
	return all
}

// Slots returns the number of slots of all workers.
func (f *Fleet) Slots() int { return len(f.Workers) * workerSize.Slots }

// Over returns how many starts went beyond a worker's size.
func (f *Fleet) Over() int {
	n := 0
	for _, w := range f.Workers {
		n += w.Worker().Over()
	}
	return n
}

// Close drains the entry VMs and stops the stand-ins.
func (f *Fleet) Close() {
	f.stop()
	for _, e := range f.Entries {
		<-e.done
	}
	for _, h := range f.http {
		_ = h.Close()
	}
	f.wait.Wait()
}
