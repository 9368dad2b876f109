// Command ladderstand runs a stand-in for the platform or for a worker, as a process of
// its own.
//
// # Usage
//
//	ladderstand platform -listen 127.0.0.1:21000
//	ladderstand worker -listen 127.0.0.1:0 -platform 127.0.0.1:21000 \
//		-name taoyuan-a-r1-w1 -region tw-north -zone taoyuan-a -rack taoyuan-a-r1
//
// A worker adds itself to the platform's list of VMs. Both print the address at which they
// serve. The switches that inject faults are set over HTTP, as package ladderstand
// describes.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplatform"
	"lacewingladder/ladderstand"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves the stand-in that the first argument names.
func run(args []string) error {
	if len(args) == 0 {
		return errors.New("usage: ladderstand platform|worker [flags]")
	}
	switch args[0] {
	case "platform":
		return runPlatform(args[1:])
	case "worker":
		return runWorker(args[1:])
	}
	return fmt.Errorf("ladderstand: %q is not platform or worker", args[0])
}

// runPlatform serves a stand-in for the platform.
func runPlatform(args []string) error {
	flags := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "`address` to serve on")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	_, _ = fmt.Println(listener.Addr())
	return ladderstand.NewHTTPServer(ladderstand.NewPlatform(ladderclock.System{}).Handler()).Serve(listener)
}

// runWorker serves a stand-in for a worker and adds it to the platform's list.
func runWorker(args []string) error {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "`address` to serve on")
	platform := flags.String("platform", "", "`address` of the platform")
	var spec ladderstand.Spec
	flags.StringVar(&spec.Name, "name", "", "`name` of the worker")
	flags.StringVar(&spec.Region, "region", "", "`region` of the worker")
	flags.StringVar(&spec.Zone, "zone", "", "`zone` of the worker")
	flags.StringVar(&spec.Rack, "rack", "", "`rack` of the worker")
	flags.DurationVar(&spec.Lag, "lag", 0, "`delay` of the worker's reports")
	slots := flags.Int("slots", 8, "`number` of slots of the worker")
	cores := flags.Int("cores", 32, "`number` of processor cores of the worker")
	memory := flags.Int64("memory", 64, "memory of the worker in `GiB`")
	accelerators := flags.Int("accelerators", 0, "`number` of accelerators of the worker")
	if err := flags.Parse(args); err != nil {
		return err
	}
	spec.Size = laddermodel.Size{
		Slots: *slots, Millicores: *cores * 1000, Memory: *memory << 30, Accelerators: *accelerators,
	}
	// The start time, in units of 1024 ns, identifies the incarnation of the process.
	spec.Boot = uint64(time.Now().UnixNano() >> 10)
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	if err := register(*platform, spec, listener.Addr().String()); err != nil {
		return err
	}
	_, _ = fmt.Println(listener.Addr())
	server := ladderstand.NewWorkerServer(ladderstand.NewWorker(ladderclock.System{}, spec))
	return ladderstand.NewHTTPServer(server.Handler()).Serve(listener)
}

// register adds a worker to the platform's list of VMs.
func register(platform string, spec ladderstand.Spec, address string) error {
	body, err := json.Marshal(ladderplatform.VM{
		Name: spec.Name, Role: "worker", Region: spec.Region, Zone: spec.Zone, Rack: spec.Rack, Address: address,
		Slots: spec.Size.Slots, Millicores: spec.Size.Millicores, Memory: spec.Size.Memory,
		Accelerators: spec.Size.Accelerators,
	})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+platform+"/vms", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the platform did not list the worker: %s", response.Status)
	}
	return nil
}
