package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivefall/endivefall/faker"
	"github.com/endivefall/endivefall/responder"
)

// callers send bookings in bursts and record what they were told.
type callers struct {
	f       *fleet
	client  *http.Client
	told    faker.EventLog
	stop    chan struct{}
	sending sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]int
	took     []time.Duration
	bySecond map[int64][]time.Duration
}

// Rates of the bookings, a second.
const (
	calmRate  = 60
	burstRate = 300
)

func newCallers(f *fleet) *callers {
	return &callers{
		f: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second},
		stop: make(chan struct{}), outcomes: map[string]int{}, bySecond: map[int64][]time.Duration{},
	}
}

// start sends bookings until end: a burst every third second.
func (c *callers) start() {
	c.sending.Go(func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for n := 0; ; n++ {
			rate := calmRate
			if time.Now().Unix()%3 == 0 {
				rate = burstRate
			}
			select {
			case <-c.stop:
				return
			case <-time.After(time.Duration(rng.ExpFloat64() / float64(rate) * float64(time.Second))):
			}
			body := bytes.Repeat([]byte(fmt.Sprintf("booking %d ", n)), 1+rng.IntN(200))
			entry, work := rng.IntN(len(c.f.entries)), time.Duration(2+rng.IntN(20))*time.Millisecond
			c.sending.Go(func() { c.book(entry, n, work, body) })
		}
	})
}

func (c *callers) end() {
	close(c.stop)
	c.sending.Wait()
	c.client.CloseIdleConnections()
}

// book sends one booking and checks the answer against it.
func (c *callers) book(entry, n int, work time.Duration, body []byte) {
	began := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+c.f.entries[entry].String()+"/v1/call/association/booking/slots", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(responder.IdempotencyKeyHeader, fmt.Sprintf("booking-%d", n))
	req.Header.Set("Fake-Sleep", work.String())
	r := faker.Event{Kind: faker.CallReplied, Outcome: string(responder.Unknown)}
	resp, err := c.client.Do(req)
	if err == nil {
		got, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.Request = resp.Header.Get(responder.RequestHeader)
		if rerr == nil {
			r.Outcome = resp.Header.Get(responder.OutcomeHeader)
		}
		if r.Outcome == string(responder.Done) && !bytes.Equal(got, body) {
			r.Mismatch = "another answer"
		}
	}
	r.At = time.Now()
	c.told.Add(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[r.Outcome]++
	if r.Outcome == string(responder.Done) {
		took := time.Since(began)
		c.took = append(c.took, took)
		c.bySecond[began.Unix()] = append(c.bySecond[began.Unix()], took)
	}
}

func (c *callers) count(outcome string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes[outcome]
}

func (c *callers) quantile(q float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return quantile(c.took, q)
}

func quantile(took []time.Duration, q float64) time.Duration {
	if len(took) == 0 {
		return 0
	}
	sorted := slices.Clone(took)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(100 * time.Microsecond)
}

// windows counts the seconds in which the contract was met.
func (c *callers) windows() (met, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, took := range c.bySecond {
		all++
		if quantile(took, 0.99) <= bound {
			met++
		}
	}
	return met, all
}

func faults(down bool) faker.PlatformFaults { return faker.PlatformFaults{Down: down} }

// eventually repeats something until it succeeds, or the demo's patience ends.
func eventually(ctx context.Context, try func() error) error {
	end := time.Now().Add(patience)
	for {
		err := try()
		if err == nil || time.Now().After(end) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

var errAnswer = errors.New("entry refused")

// send sends a call to an entry and reads a JSON answer.
func send(ctx context.Context, method, url, body string, header map[string]string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%w: %s", errAnswer, raw)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(raw, into)
}
