// Command ladderstand runs one stand-in as a process: the platform or a worker.
//
// # Usage
//
//	ladderstand platform -listen 127.0.0.1:21000
//	ladderstand worker -listen 127.0.0.1:0 -platform 127.0.0.1:21000 \
//		-name taoyuan-a-r1-w1 -region tw-north -zone taoyuan-a -rack taoyuan-a-r1
//
// A worker puts itself into the platform's list. With -entry NAME=ADDR a platform
// lists an entry VM from the beginning. Switches are set over HTTP, as the package
// ladderstand describes.
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

func runPlatform(args []string) error {
	f := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := f.String("listen", "127.0.0.1:0", "the address to serve on")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	_, _ = fmt.Println(l.Addr())
	return ladderstand.NewHTTP(ladderstand.NewPlatform(ladderclock.System{}).Handler()).Serve(l)
}

func runWorker(args []string) error {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	listen := f.String("listen", "127.0.0.1:0", "the address to serve on")
	platform := f.String("platform", "", "the platform's address")
	var s ladderstand.Spec
	f.StringVar(&s.Name, "name", "", "the worker's name")
	f.StringVar(&s.Region, "region", "", "the worker's region")
	f.StringVar(&s.Zone, "zone", "", "the worker's zone")
	f.StringVar(&s.Rack, "rack", "", "the worker's rack")
	f.DurationVar(&s.Lag, "lag", 0, "how far reports are behind")
	slots := f.Int("slots", 8, "the worker's slots")
	cores := f.Int("cores", 32, "the worker's cores")
	memory := f.Int64("memory", 64, "the worker's memory in GiB")
	accelerators := f.Int("accelerators", 0, "the worker's accelerators")
	if err := f.Parse(args); err != nil {
		return err
	}
	s.Size = laddermodel.Size{
		Slots: *slots, Millicores: *cores * 1000, Memory: *memory << 30, Accelerators: *accelerators,
	}
	s.Boot = uint64(time.Now().UnixNano() >> 10)
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	if err := register(*platform, s, l.Addr().String()); err != nil {
		return err
	}
	_, _ = fmt.Println(l.Addr())
	server := ladderstand.NewServer(ladderstand.NewWorker(ladderclock.System{}, s))
	return ladderstand.NewHTTP(server.Handler()).Serve(l)
}

// register puts a worker into the platform's list.
func register(platform string, s ladderstand.Spec, address string) error {
	body, err := json.Marshal(ladderplatform.VM{
		Name: s.Name, Role: "worker", Region: s.Region, Zone: s.Zone, Rack: s.Rack, Address: address,
		Slots: s.Size.Slots, Millicores: s.Size.Millicores, Memory: s.Size.Memory,
		Accelerators: s.Size.Accelerators,
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
