package ladderstand

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// CallerKeys judges the answers to callers' requests by the keys that the requests carried. It is safe for concurrent
// use.
type CallerKeys struct {
	// applied is how long after a configuration was stored an earlier one may be in force.
	applied time.Duration

	mu   sync.Mutex
	keys map[string]*callerKey
}

// callerKey tells when a key was last added to the configuration and when it was removed from it since, or zero.
type callerKey struct{ added, removed time.Time }

// NewCallerKeys returns a judge that knows no keys. Applied is how long after a configuration was stored an earlier one
// may be in force.
func NewCallerKeys(applied time.Duration) *CallerKeys {
	return &CallerKeys{applied: applied, keys: map[string]*callerKey{}}
}

// Set records that a configuration with these keys was stored at a time. All other keys are withdrawn.
func (c *CallerKeys) Set(at time.Time, keys ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := map[string]bool{}
	for _, k := range keys {
		present[k] = true
		if x := c.keys[k]; x == nil || !x.removed.IsZero() {
			c.keys[k] = &callerKey{added: at}
		}
	}
	for k, x := range c.keys {
		if !present[k] && x.removed.IsZero() {
			x.removed = at
		}
	}
}

// JudgeUnknown returns an error if a request was answered with success though no configuration ever had its key.
func (c *CallerKeys) JudgeUnknown(key string, status int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.keys[key]; !ok && succeeded(status) {
		return fmt.Errorf("a request with a key that no configuration had is answered with %d", status)
	}
	return nil
}

// Judge returns an error if the answer to a request shows that a VM in touch has not applied a configuration in time: the
// key works longer than it may, or is refused though it is there.
func (c *CallerKeys) Judge(key string, sent, answered time.Time, status int) error {
	if err := c.JudgeUnknown(key, status); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.keys[key]
	if x == nil {
		return nil
	}
	refused := status == http.StatusUnauthorized || status == http.StatusForbidden
	switch {
	case succeeded(status) && !x.removed.IsZero() && sent.Sub(x.removed) > c.applied:
		return fmt.Errorf("a request that was sent %v after its key was withdrawn is answered with %d", sent.Sub(x.removed), status)
	case refused && sent.Sub(x.added) > c.applied && (x.removed.IsZero() || x.removed.After(answered)):
		return fmt.Errorf("a request that was sent %v after its key was added is answered with %d", sent.Sub(x.added), status)
	}
	return nil
}

// succeeded reports whether a status means success.
func succeeded(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
