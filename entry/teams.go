package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/limiter"
	"github.com/endivefall/endivefall/parser"
	"github.com/endivefall/endivefall/publisher"
	"github.com/endivefall/endivefall/responder"
	"github.com/endivefall/endivefall/storer"
)

const (
	// operatorTimeout bounds how long an operator waits for the store.
	operatorTimeout = 8 * time.Second
	// storeRetryDelay is how long an operator should wait before retrying while the
	// store is unavailable.
	storeRetryDelay = 5 * time.Second
	// nonceHeader identifies a write, so that a later read shows whether it was
	// accepted.
	nonceHeader = "Endivefall-Nonce"
)

func (e *Entry) getTeam(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	doc, nonce, err := e.publisher.Current(ctx, r.PathValue("team"))
	if errors.Is(err, storer.ErrNotFound) {
		e.problem(w, responder.Problem{Status: http.StatusNotFound, Code: "unknown-team", Detail: "no document was accepted for this team"})
		return
	}
	if err != nil && doc.Version == 0 {
		e.problem(w, responder.Problem{Status: http.StatusServiceUnavailable, Code: "store-down", Detail: err.Error(), RetryAt: e.now().Add(storeRetryDelay)})
		return
	}
	if err != nil {
		w.Header().Set("Warning", `110 - "the store is down; this is the version in force at this entry"`)
	}
	w.Header().Set("ETag", etag(doc.Version))
	w.Header().Set("Content-Type", "application/yaml")
	if nonce != "" {
		w.Header().Set(nonceHeader, nonce)
	}
	_, _ = w.Write(doc.Source)
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

var errNoVersion = errors.New(`If-Match must be a version as "12", or If-None-Match: * for a new team`)

// expectedVersion returns the version that a change is based on, from the header of
// the request; 0 for a new team.
func expectedVersion(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	tag := strings.Trim(r.Header.Get("If-Match"), `"`)
	version, err := strconv.ParseUint(tag, 10, 64)
	if err != nil || version == 0 {
		return 0, errNoVersion
	}
	return version, nil
}

func (e *Entry) putTeam(w http.ResponseWriter, r *http.Request) {
	team := r.PathValue("team")
	version, err := expectedVersion(r)
	if err != nil {
		e.problem(w, responder.Problem{Status: http.StatusPreconditionRequired, Code: "no-version", Detail: err.Error()})
		return
	}
	source, ok := e.readDocument(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	newVersion, nonce, err := e.publisher.Publish(ctx, team, source, version)
	if nonce != "" {
		w.Header().Set(nonceHeader, nonce)
	}
	if err != nil {
		e.respondDocumentError(ctx, w, team, nonce, err)
		return
	}
	w.Header().Set("ETag", etag(newVersion))
	responder.WriteJSON(w, http.StatusOK, map[string]any{"team": team, "version": newVersion})
}

func (e *Entry) readDocument(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	var source []byte
	payload, err := e.callerLimits.ReadAll(r, parser.MaxDocumentBytes)
	defer payload.Release()
	if err == nil {
		err = payload.Decode(r.Context(), func(raw []byte) error {
			source = bytes.Clone(raw)
			return nil
		})
	}
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	switch {
	case err == nil:
		return source, true
	case errors.Is(err, limiter.ErrBusy), errors.Is(err, limiter.ErrSlow):
		e.problem(w, responder.Problem{Status: http.StatusServiceUnavailable, Code: "busy", Detail: err.Error() + "; nothing was changed", RetryAt: e.now().Add(time.Second)})
	case errors.Is(err, limiter.ErrTooLarge):
		e.problem(w, responder.Problem{Status: http.StatusRequestEntityTooLarge, Code: "document-too-large", Detail: fmt.Sprintf("a document has at most %d bytes; split the team", parser.MaxDocumentBytes)})
	default:
		e.problem(w, responder.Problem{Status: http.StatusBadRequest, Code: "body-cut-short", Detail: "the document ended early; nothing was changed"})
	}
	return nil, false
}

// respondDocumentError replies why a document was not accepted, or that the
// outcome is unknown.
func (e *Entry) respondDocumentError(ctx context.Context, w http.ResponseWriter, team, nonce string, err error) {
	var diagnostics decoder.Diagnostics
	switch {
	case errors.As(err, &diagnostics):
		e.problem(w, responder.Problem{Status: http.StatusUnprocessableEntity, Code: "bad-document", Detail: "nothing was changed", Faults: diagnostics})
	case errors.Is(err, publisher.ErrVersionConflict):
		p := responder.Problem{Status: http.StatusPreconditionFailed, Code: "edited", Detail: "the document was edited meanwhile; get it, merge, and send it again"}
		if current, _, err := e.publisher.Current(ctx, team); err == nil {
			p.Version = current.Version
			w.Header().Set("ETag", etag(current.Version))
		}
		e.problem(w, p)
	case errors.Is(err, storer.ErrUnknownOutcome):
		e.problem(w, responder.Problem{
			Status: http.StatusGatewayTimeout, Code: "not-known-yet", Nonce: nonce, RetryAt: e.now().Add(storeRetryDelay),
			Detail: "the store did not answer, so the change may or may not have been accepted; get shows it by its nonce",
		})
	default:
		e.problem(w, responder.Problem{
			Status: http.StatusServiceUnavailable, Code: "store-down", RetryAt: e.now().Add(storeRetryDelay),
			Detail: "nothing was changed: " + err.Error(),
		})
	}
}

// planTeam replies with what a document would change, and changes nothing.
func (e *Entry) planTeam(w http.ResponseWriter, r *http.Request) {
	source, ok := e.readDocument(w, r)
	if !ok {
		return
	}
	team := r.PathValue("team")
	next, err := parser.New().Parse(team, source)
	if err != nil {
		e.respondDocumentError(r.Context(), w, team, "", err)
		return
	}
	current := &parser.Document{Team: team}
	version := uint64(0)
	if doc := e.cataloger.Get(team); doc != nil {
		current, version = doc.Parsed, doc.Version
	}
	responder.WriteJSON(w, http.StatusOK, map[string]any{"team": team, "version": version, "changes": parser.Diff(current, next)})
}

func (e *Entry) problem(w http.ResponseWriter, p responder.Problem) {
	responder.Write(w, p, e.now())
}
