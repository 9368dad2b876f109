package ladderstand

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// opened counts the connections that were opened to stand-ins of this process.
var opened atomic.Int64

// openedKey is the context key of a connection's number.
type openedKey struct{}

// NewHTTP returns an HTTP server for a stand-in's handler. It numbers the
// connections, so that a switch can silence just those that are open.
func NewHTTP(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, openedKey{}, opened.Add(1))
		},
	}
}
