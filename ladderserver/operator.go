package ladderserver

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"

	"lacewingladder/ladderconfig"
	"lacewingladder/ladderfinding"
)

// The HTTP headers of the operators' interface: who makes a change, the ID of the
// change, and the number of the version on which it is based.
const (
	HeaderOperator = "Ladder-Operator"
	HeaderChange   = "Ladder-Change"
	HeaderIfMatch  = "If-Match"
)

// maxDocumentBytes bounds the size of a configuration document.
const maxDocumentBytes = 1 << 20

// operatorHandler returns the handler of the operators' HTTP interface.
func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", s.authorized(s.getConfig))
	mux.HandleFunc("PUT /v1/config", s.authorized(s.putConfig))
	mux.HandleFunc("GET /v1/status", s.authorized(s.getStatus))
	mux.HandleFunc("POST /v1/drain", s.authorized(func(w http.ResponseWriter, _ *http.Request) {
		s.requestDrain()
		w.WriteHeader(http.StatusAccepted)
	}))
	mux.HandleFunc("GET /metrics", s.getMetrics)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	return mux
}

// authorized wraps a handler. It rejects requests without the operators' token.
func (s *Server) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		got, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(got), []byte(s.settings.OperatorToken)) != 1 {
			http.Error(w, "Authorization: the token is not the operators' token", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// getConfig writes the version in force.
func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request) {
	v, ok := s.config.version()
	if !ok {
		http.Error(w, "there is no configuration yet", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(v.Number, 10)))
	writeVersion(w, v)
}

// writeVersion writes a version as JSON.
func writeVersion(w http.ResponseWriter, v ladderconfig.Version) {
	data, err := EncodeVersion(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

// putConfig applies a configuration. The If-Match header, if any, holds the number
// of the version on which it is based.
func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	base, err := parseBase(r.Header.Get(HeaderIfMatch))
	if err != nil {
		http.Error(w, HeaderIfMatch+": "+err.Error(), http.StatusBadRequest)
		return
	}
	v := ladderconfig.Version{
		ChangeID: r.Header.Get(HeaderChange), Operator: r.Header.Get(HeaderOperator), Document: string(document),
	}
	if v.ChangeID == "" {
		v.ChangeID = ulid.Make().String()
	}
	if v.Operator == "" {
		v.Operator = "unnamed operator"
	}
	accepted, err := s.config.apply(r.Context(), v, base)
	var findings *ladderfinding.Error
	var conflict *ladderconfig.ConflictError
	switch {
	case errors.As(err, &findings):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.As(err, &conflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, ErrOutcomeUnknown):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeVersion(w, accepted)
	}
}

// anyVersion is the base of a change that does not state on which version it is based.
const anyVersion = -1

// parseBase parses the version number in an If-Match header. It returns anyVersion if
// there is no header.
func parseBase(text string) (int64, error) {
	if text == "" {
		return anyVersion, nil
	}
	base, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 63)
	return int64(base), err
}

// getStatus writes the VM's status as JSON.
func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(s.status(r.Context()))
}
