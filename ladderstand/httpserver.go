package ladderstand

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// openedConnections counts the connections to all stand-ins of this process.
var openedConnections atomic.Int64

// connectionNumberKey is the context key of the number of a request's connection.
type connectionNumberKey struct{}

// NewHTTPServer returns an HTTP server for the handler of a stand-in. It numbers the
// connections in the order in which they are opened, so that the switch silent of a
// [WorkerServer] can affect only the connections that were open when it was set.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionNumberKey{}, openedConnections.Add(1))
		},
	}
}
