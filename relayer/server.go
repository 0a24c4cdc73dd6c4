package relayer

import (
	"errors"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/endivefall/endivefall/limiter"
	"github.com/endivefall/endivefall/storer"
)

// refusesCalls reports whether calls for other entries would most likely fail. The calls
// of this entry find out when it reaches the store again.
func (r *Relayer) refusesCalls() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unreachableSince.IsZero() && r.cfg.Now().Sub(r.failedAt) < refusalTTL
}

// ServeHTTP makes a call for another entry. It does not relay the call any further.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	payload, err := r.cfg.Limits.ReadAll(req, maxBodyBytes)
	defer payload.Release()
	var c call
	if err == nil {
		err = payload.Decode(req.Context(), func(raw []byte) error { return callDecoder.Unmarshal(raw, &c) })
	}
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, limiter.ErrBusy) || errors.Is(err, limiter.ErrSlow) {
			status = http.StatusServiceUnavailable
		}
		w.Header().Set("Connection", "close") // the rest of the body is not read
		http.Error(w, err.Error(), status)
		return
	}
	// The head tells the other entry that this one is alive.
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		r.cfg.Log.Debug("could not begin reply to a relayed call", zap.Error(err))
		return
	}
	p := &reply{}
	if r.refusesCalls() {
		err = errRefused
	} else {
		p, err = r.direct(req.Context(), &c)
		r.updateReachability(err)
	}
	if err != nil {
		p.Code, p.Text = codeOf(err), err.Error()
		var conflict *storer.ConflictError
		if errors.As(err, &conflict) {
			p.Items = conflict.Items
		}
	}
	raw, err := cbor.Marshal(p)
	if err != nil {
		r.cfg.Log.Error("could not encode reply to a relayed call", zap.Error(err))
		return // the other entry finds no reply
	}
	if _, err := w.Write(raw); err != nil {
		r.cfg.Log.Debug("could not write reply to a relayed call", zap.Error(err))
	}
}
