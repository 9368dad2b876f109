package laddertest

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

// sharedLink relays TCP connections to one address. All bytes that come back from there pass
// through one link of limited rate, whose capacity the connections share.
type sharedLink struct {
	// rate is in bytes per second.
	rate float64

	mu sync.Mutex
	// freeAt is when the link has sent all bytes that were given to it.
	freeAt time.Time
}

// linkChunk is the number of bytes that one connection sends before others take their turn.
const linkChunk = 8 << 10

// relay returns an address whose connections are relayed to the address to.
func (l *sharedLink) relay(f *flowCluster, to string) string {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(far, near)
				_ = far.Close()
			}()
			go func() {
				l.send(near, far)
				_ = near.Close()
				_ = far.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// send copies from one connection to another at the pace of the link.
func (l *sharedLink) send(to io.Writer, from io.Reader) {
	buffer := make([]byte, linkChunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(l.reserve(n))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reserve gives n bytes to the link and returns how long it takes until they have arrived.
func (l *sharedLink) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.freeAt.Sub(now)
}
