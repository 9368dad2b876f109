package ladderstand

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// The ports from firstPort on lie below the system's range for outgoing connections. Otherwise
	// such a connection could take a free port before the program that is to listen on it does.
	firstPort = 20_000
	portCount = 10_000
	// portStride spreads the processes of one test run over the ports.
	portStride = 17
)

// triedPorts counts the ports that FreePort has tried.
var triedPorts atomic.Int32

// FreePort returns a loopback address with a port that is not in use, for network "tcp" or "udp".
// Successive calls return different ports.
func FreePort(network string) (netip.AddrPort, error) {
	for range portCount {
		port := firstPort + (int(triedPorts.Add(1))+portStride*os.Getpid())%portCount
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		var open io.Closer
		var err error
		if network == "udp" {
			open, err = net.ListenPacket(network, address.String())
		} else {
			open, err = net.Listen(network, address.String())
		}
		if err != nil {
			continue
		}
		return address, open.Close()
	}
	return netip.AddrPort{}, errors.New("no port is free")
}
