package laddergate

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lacewingladder/ladderconfig"
	"lacewingladder/ladderfinding"
	"lacewingladder/ladderkey"
	"lacewingladder/laddermodel"
)

// exchange is one HTTP exchange on its way through the filters.
type exchange struct {
	gate    *Gate
	writer  http.ResponseWriter
	http    *http.Request
	config  *ladderconfig.Config
	member  string
	body    []byte
	request laddermodel.Request
}

// filter lets an exchange pass, or ends it with a refusal.
type filter func(x *exchange) *Refusal

// Refusal is an exchange that ended without the answer of an endpoint.
type Refusal struct {
	Status  int
	Outcome laddermodel.Outcome
	// Reason is shown to the caller, one finding on each line.
	Reason string
	// RetryAfter says when asking again makes sense, unless it is zero.
	RetryAfter time.Duration
}

// refuse returns a refusal of a request that did not run.
func refuse(status int, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Outcome: laddermodel.NotRun, Reason: fmt.Sprintf(format, args...)}
}

// chain returns a handler that passes exchanges through filters to last.
func (g *Gate) chain(last filter, filters ...filter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{gate: g, writer: w, http: r, config: g.Config()}
		x.request.ID = g.ids.next()
		w.Header().Set(HeaderRequest, x.request.ID)
		if x.config == nil {
			x.refuse(&Refusal{
				Status: http.StatusServiceUnavailable, Outcome: laddermodel.NotRun,
				Reason: "this entry VM has no configuration yet", RetryAfter: time.Second,
			})
			return
		}
		for _, f := range append(filters[:len(filters):len(filters)], last) {
			if refusal := f(x); refusal != nil {
				x.refuse(refusal)
				return
			}
		}
	}
}

// identify finds out which member the caller belongs to.
func identify(x *exchange) *Refusal {
	x.member = x.http.Header.Get(HeaderMember)
	if _, ok := x.config.Members[x.member]; !ok {
		return refuse(http.StatusBadRequest, "%s: member %q is unknown", HeaderMember, x.member)
	}
	want, ok := x.gate.Tokens[x.member]
	if !ok {
		return nil
	}
	got, _ := strings.CutPrefix(x.http.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		return refuse(http.StatusUnauthorized, "Authorization: the token is not that of member %q", x.member)
	}
	return nil
}

// bound reads the body, up to the configured limit.
func bound(x *exchange) *Refusal {
	limit := x.config.Limits.Body
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.http.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refuse(http.StatusRequestEntityTooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		return refuse(http.StatusBadRequest, "the body broke off: %v", err)
	}
	x.body = body
	return nil
}

// describe reads the headers of a request and reports all that is wrong with
// them together.
func describe(x *exchange) *Refusal {
	var list ladderfinding.List
	at := func(header string) ladderfinding.Place { return ladderfinding.Place{File: header} }
	h := x.http.Header
	class, ok := x.config.Class(h.Get(HeaderClass))
	if !ok {
		list.Add(at(HeaderClass), "class %q is unknown", h.Get(HeaderClass))
	} else if class.Member != x.member {
		list.Add(at(HeaderClass), "class %q is not one of member %q", class.Name, x.member)
	}
	deadline := class.Deadline
	if text := h.Get(HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			list.Add(at(HeaderDeadline), "%q is not a duration such as 2s", text)
		}
		deadline = min(d, deadline)
	}
	key := h.Get(HeaderKey)
	checkKey(x.gate.Clock.Now(), key, class.Once, func(format string, args ...any) {
		list.Add(at(HeaderKey), format, args...)
	})
	if err := list.Err(); err != nil {
		return refuse(http.StatusBadRequest, "%v", err)
	}
	x.request = laddermodel.Request{
		ID: x.request.ID, Key: key, Member: x.member, Class: class.Name, Deadline: deadline, Body: x.body,
	}
	return nil
}

// checkKey finds fault with an idempotency key.
func checkKey(now time.Time, key string, once bool, fault func(format string, args ...any)) {
	if key == "" {
		if once {
			fault("requests of this class must not be repeated and need a key")
		}
		return
	}
	if len(key) > ladderkey.MaxLen {
		fault("the key has more than %d bytes", ladderkey.MaxLen)
		return
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' || b == '/' {
			fault("the key may hold printable ASCII characters except spaces and slashes")
			return
		}
	}
	if minted, ok := ladderkey.Minted(key); ok && minted.Sub(now) > ladderkey.Skew {
		fault("the key was minted %v in the future", minted.Sub(now).Round(time.Millisecond))
	}
}

// admit bounds the requests under way.
func admit(x *exchange) *Refusal {
	if x.gate.open.Add(1) > maxOpen {
		x.gate.open.Add(-1)
		return &Refusal{
			Status: http.StatusTooManyRequests, Outcome: laddermodel.NotRun,
			Reason: "this entry VM carries too many requests", RetryAfter: time.Second,
		}
	}
	return nil
}

// refuse writes a refusal.
func (x *exchange) refuse(r *Refusal) {
	x.gate.Log.Info("refused", "request", x.request.ID, "member", x.member, "status", r.Status,
		"outcome", r.Outcome, "reason", r.Reason)
	h := x.writer.Header()
	h.Set(HeaderOutcome, r.Outcome.String())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(r.RetryAfter)))
	}
	x.writeBody(r.Status, "text/plain; charset=utf-8", []byte(r.Reason+"\n"))
}

// writeBody writes a whole answer with its length.
func (x *exchange) writeBody(status int, kind string, body []byte) {
	h := x.writer.Header()
	h.Set("Content-Type", kind)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(body)
}
