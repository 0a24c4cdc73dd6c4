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

// clientTimeout bounds one call of a command to an entry.
const clientTimeout = 15 * time.Second

// client calls an entry.
type client struct {
	entry string
	json  bool
}

func (c *client) flags(f *flag.FlagSet) {
	f.StringVar(&c.entry, "entry", "127.0.0.1:7000", "address of an entry")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// answer is an entry's answer, read whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// problem is an entry's refusal, with its faults.
type problem struct {
	responder.Problem
	Faults decoder.Diagnostics `json:"faults"`
}

// errUnknownOutcome says that it is not known whether a change took effect.
var errUnknownOutcome = errors.New("not known yet whether the change took effect")

func (c *client) base() *sling.Sling { return sling.New().Base("http://" + c.entry) }

// do sends a call; a refusal is an error. A call that was not carried out is
// sent again when the entry says to come back, while there is time.
func (c *client) do(ctx context.Context, call *sling.Sling) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := call.Request()
	if err != nil {
		return answer{}, err
	}
	for {
		a, err := c.send(req.WithContext(ctx))
		wait, again := comeBack(a)
		if deadline, _ := ctx.Deadline(); err == nil || !again || time.Until(deadline) < wait {
			return a, err
		}
		waiter.Sleep(ctx, wait)
		if req.GetBody != nil {
			if req.Body, err = req.GetBody(); err != nil {
				return a, err
			}
		}
	}
}

// comeBack says how long an entry that has not carried out a call wants it to
// wait.
func comeBack(a answer) (time.Duration, bool) {
	if a.status != http.StatusServiceUnavailable || a.header.Get(responder.OutcomeHeader) != string(responder.NotRun) {
		return 0, false
	}
	seconds, err := strconv.Atoi(a.header.Get("Retry-After"))
	return time.Duration(seconds) * time.Second, err == nil
}

// send sends a call once.
func (c *client) send(req *http.Request) (answer, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, fmt.Errorf("calling the entry at %s: %w; name another with -entry", c.entry, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, fmt.Errorf("reading the entry's answer: %w", err)
	}
	a := answer{resp.StatusCode, resp.Header, body}
	if resp.StatusCode >= http.StatusBadRequest {
		return a, refusal(body, resp)
	}
	return a, nil
}

func refusal(body []byte, resp *http.Response) error {
	var p problem
	if json.Unmarshal(body, &p) != nil || p.Code == "" {
		return fmt.Errorf("entry answered %s", resp.Status)
	}
	text := p.Code + ": " + p.Detail
	if p.Version != 0 {
		text += fmt.Sprintf(" (current version %d)", p.Version)
	}
	if len(p.Faults) > 0 {
		text += "\n" + p.Faults.Error()
	}
	if !p.RetryAt.IsZero() {
		text += "; come back in " + resp.Header.Get("Retry-After") + " s"
	}
	if p.Code == "not-known-yet" {
		return fmt.Errorf("%s; nonce %s: %w", text, p.Nonce, errUnknownOutcome)
	}
	return errors.New(text)
}

// report prints an error and returns its exit code.
func (s streams) report(err error) int {
	s.fail(err)
	if errors.Is(err, errUnknownOutcome) {
		return ExitUnknown
	}
	return ExitFailed
}

// pretty prints a JSON answer with indents.
func (s streams) pretty(raw []byte) {
	var v any
	if json.Unmarshal(raw, &v) != nil {
		fmt.Fprintln(s.out, strings.TrimSpace(string(raw)))
		return
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
