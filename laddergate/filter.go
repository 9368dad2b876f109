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

// exchange is one HTTP request that passes through the filters, and its
// response.
type exchange struct {
	gate        *Gate
	writer      http.ResponseWriter
	httpRequest *http.Request
	config      *ladderconfig.Config
	// member, body and request are set by the filters.
	member  string
	body    []byte
	request laddermodel.Request
}

// filter lets an exchange pass by returning nil, or ends it with a refusal.
type filter func(x *exchange) *Refusal

// Refusal is the response to a request that ended without the answer of an
// endpoint.
type Refusal struct {
	Status  int
	Outcome laddermodel.Outcome
	// Reason is shown to the caller. It has one line for each problem.
	Reason string
	// RetryAfter is the time after which the caller may retry. Zero means that
	// no time is stated.
	RetryAfter time.Duration
}

// refuse returns a refusal of a request that did not run.
func refuse(status int, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Outcome: laddermodel.NotRun, Reason: fmt.Sprintf(format, args...)}
}

// chain returns a handler that passes each exchange through the filters and
// then to last.
func (g *Gate) chain(last filter, filters ...filter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{gate: g, writer: w, httpRequest: r, config: g.Config()}
		x.request.ID = g.ids.next()
		w.Header().Set(HeaderRequest, x.request.ID)
		if x.config == nil {
			x.refuse(&Refusal{
				Status: http.StatusServiceUnavailable, Outcome: laddermodel.NotRun,
				Reason: "this entry VM has no configuration yet", RetryAfter: time.Second,
			})
			return
		}
		// The full slice expression makes append copy filters, which concurrent requests share.
		for _, f := range append(filters[:len(filters):len(filters)], last) {
			if refusal := f(x); refusal != nil {
				x.refuse(refusal)
				return
			}
		}
	}
}

// identifyCaller reads the caller's member from the headers and checks the
// member's token, if it has one.
func identifyCaller(x *exchange) *Refusal {
	x.member = x.httpRequest.Header.Get(HeaderMember)
	if _, ok := x.config.Members[x.member]; !ok {
		return refuse(http.StatusBadRequest, "%s: member %q is unknown", HeaderMember, x.member)
	}
	want, ok := x.gate.Tokens[x.member]
	if !ok {
		return nil
	}
	got, _ := strings.CutPrefix(x.httpRequest.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		return refuse(http.StatusUnauthorized, "Authorization: the token is not that of member %q", x.member)
	}
	return nil
}

// readBody reads the body. It refuses a body that exceeds the configured limit.
func readBody(x *exchange) *Refusal {
	limit := x.config.Limits.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.httpRequest.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		return refuse(http.StatusBadRequest, "the body broke off: %v", err)
	}
	x.body = body
	return nil
}

// parseHeaders reads the class, the deadline and the idempotency key from the
// headers. It reports all problems with them together.
func parseHeaders(x *exchange) *Refusal {
	var findings ladderfinding.List
	inHeader := func(header string) ladderfinding.Place { return ladderfinding.Place{File: header} }
	h := x.httpRequest.Header
	class, ok := x.config.Class(h.Get(HeaderClass))
	if !ok {
		findings.Add(inHeader(HeaderClass), "class %q is unknown", h.Get(HeaderClass))
	} else if class.Member != x.member {
		findings.Add(inHeader(HeaderClass), "class %q is not one of member %q", class.Name, x.member)
	}
	deadline := class.Deadline
	if text := h.Get(HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			findings.Add(inHeader(HeaderDeadline), "%q is not a duration such as 2s", text)
		}
		deadline = min(d, deadline)
	}
	key := h.Get(HeaderKey)
	checkKey(x.gate.Clock.Now(), key, class.RunOnce, func(format string, args ...any) {
		findings.Add(inHeader(HeaderKey), format, args...)
	})
	if err := findings.Err(); err != nil {
		return refuse(http.StatusBadRequest, "%v", err)
	}
	x.request = laddermodel.Request{
		ID: x.request.ID, Key: key, Member: x.member, Class: class.Name, Deadline: deadline, Body: x.body,
	}
	return nil
}

// checkKey calls addFinding if there is a problem with an idempotency key. The
// argument once is true if requests of the class need a key.
func checkKey(now time.Time, key string, once bool, addFinding func(format string, args ...any)) {
	if key == "" {
		if once {
			addFinding("requests of this class must not be repeated and need a key")
		}
		return
	}
	if len(key) > ladderkey.MaxKeyBytes {
		addFinding("the key has more than %d bytes", ladderkey.MaxKeyBytes)
		return
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' || b == '/' {
			addFinding("the key may hold printable ASCII characters except spaces and slashes")
			return
		}
	}
	if minted, ok := ladderkey.MintTime(key); ok && minted.Sub(now) > ladderkey.MaxClockSkew {
		addFinding("the key was minted %v in the future", minted.Sub(now).Round(time.Millisecond))
	}
}

// limitOpenRequests counts the request as open, or refuses it if too many are
// open. The handler after it must decrement the count.
func limitOpenRequests(x *exchange) *Refusal {
	if x.gate.openRequests.Add(1) > maxOpenRequests {
		x.gate.openRequests.Add(-1)
		return &Refusal{
			Status: http.StatusTooManyRequests, Outcome: laddermodel.NotRun,
			Reason: "this entry VM carries too many requests", RetryAfter: time.Second,
		}
	}
	return nil
}

// refuse logs a refusal and writes it to the caller.
func (x *exchange) refuse(r *Refusal) {
	x.gate.Log.Info("request refused", "request", x.request.ID, "member", x.member, "status", r.Status,
		"outcome", r.Outcome, "reason", r.Reason)
	h := x.writer.Header()
	h.Set(HeaderOutcome, r.Outcome.String())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(r.RetryAfter)))
	}
	x.writeBody(r.Status, "text/plain; charset=utf-8", []byte(r.Reason+"\n"))
}

// writeBody writes a complete response with its length.
func (x *exchange) writeBody(status int, contentType string, body []byte) {
	h := x.writer.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(body)
}
