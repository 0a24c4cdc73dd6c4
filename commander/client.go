package commander

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"github.com/endivefall/endivefall/decoder"
	"github.com/endivefall/endivefall/responder"
	"github.com/endivefall/endivefall/waiter"
)

// clientTimeout bounds a request to an entry, including its retries.
const clientTimeout = 15 * time.Second

// client sends HTTP requests to an entry.
type client struct {
	entry string
	json  bool
}

func (c *client) flags(f *flag.FlagSet) {
	f.StringVar(&c.entry, "entry", "127.0.0.1:7000", "address of an entry")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// response is an HTTP response with its body read in full.
type response struct {
	status int
	header http.Header
	body   []byte
}

// problem is an entry's problem details response (RFC 9457), with the
// diagnostics of a rejected document.
type problem struct {
	responder.Problem
	Faults decoder.Diagnostics `json:"faults"`
}

// errUnknownOutcome is the error for a change that may or may not have taken
// effect.
var errUnknownOutcome = errors.New("not known yet whether the change took effect")

func (c *client) base() *sling.Sling { return sling.New().Base("http://" + c.entry) }

// do sends a request and returns an error for a status of 400 or more. A request
// that the entry reports as not run is retried after the delay in Retry-After,
// unless clientTimeout would expire first.
func (c *client) do(ctx context.Context, request *sling.Sling) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := request.Request()
	if err != nil {
		return response{}, err
	}
	for {
		res, err := c.send(req.WithContext(ctx))
		delay, retry := retryDelay(res)
		if deadline, _ := ctx.Deadline(); err == nil || !retry || time.Until(deadline) < delay {
			return res, err
		}
		waiter.Sleep(ctx, delay)
		if req.GetBody != nil {
			if req.Body, err = req.GetBody(); err != nil {
				return res, err
			}
		}
	}
}

// retryDelay returns the delay in Retry-After, and whether the request may be
// retried because it was not run.
func retryDelay(res response) (time.Duration, bool) {
	if res.status != http.StatusServiceUnavailable || res.header.Get(responder.OutcomeHeader) != string(responder.NotRun) {
		return 0, false
	}
	seconds, err := strconv.Atoi(res.header.Get("Retry-After"))
	return time.Duration(seconds) * time.Second, err == nil
}

// send sends a request once.
func (c *client) send(req *http.Request) (response, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("calling the entry at %s: %w; name another with -entry", c.entry, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, fmt.Errorf("reading the entry's response: %w", err)
	}
	res := response{resp.StatusCode, resp.Header, body}
	if resp.StatusCode >= http.StatusBadRequest {
		return res, responseError(body, resp)
	}
	return res, nil
}

// responseError returns the error for a response with a status of 400 or more.
func responseError(body []byte, resp *http.Response) error {
	var p problem
	if json.Unmarshal(body, &p) != nil || p.Code == "" {
		return fmt.Errorf("entry responded with status %s", resp.Status)
	}
	text := p.Code + ": " + p.Detail
	if p.Version != 0 {
		text += fmt.Sprintf(" (current version %d)", p.Version)
	}
	if len(p.Faults) > 0 {
		text += "\n" + p.Faults.Error()
	}
	if !p.RetryAt.IsZero() {
		text += "; retry after " + resp.Header.Get("Retry-After") + " s"
	}
	if p.Code == "not-known-yet" {
		return fmt.Errorf("%s; nonce %s: %w", text, p.Nonce, errUnknownOutcome)
	}
	return errors.New(text)
}

// failRequest prints the error of a request and returns its exit code.
func (s streams) failRequest(err error) int {
	s.fail(err)
	if errors.Is(err, errUnknownOutcome) {
		return ExitUnknown
	}
	return ExitFailed
}

// printJSON prints a JSON response with indentation, or any other as it is.
func (s streams) printJSON(raw []byte) {
	var v any
	if json.Unmarshal(raw, &v) != nil {
		fmt.Fprintln(s.out, strings.TrimSpace(string(raw)))
		return
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
