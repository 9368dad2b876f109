package ladderstand

import (
	"net/http"
	"strings"
	"time"
)

// SetStartLatency makes the worker carry out the start of a task only after a time. If the caller closes
// the connection before, the start is not carried out.
func (p *PlatformWorker) SetStartLatency(latency func(task string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = latency
}

// delayStart waits for the worker's latency if the request is a start.
func (p *PlatformWorker) delayStart(request *http.Request, o order) {
	p.mu.Lock()
	latency := p.latency
	p.mu.Unlock()
	if latency == nil || !strings.HasSuffix(request.URL.Path, "/run-start") {
		return
	}
	select {
	case <-time.After(latency(o.Task)):
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}
