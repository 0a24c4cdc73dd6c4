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

// callers sends bookings in bursts and records the replies.
type callers struct {
	fleet    *localFleet
	client   *http.Client
	replies  faker.EventLog
	done     chan struct{}
	inFlight sync.WaitGroup

	mu                sync.Mutex
	outcomes          map[string]int
	latencies         []time.Duration
	latenciesBySecond map[int64][]time.Duration
}

const (
	baseBookingsPerSecond  = 60
	burstBookingsPerSecond = 300
)

func newCallers(f *localFleet) *callers {
	return &callers{
		fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second},
		done: make(chan struct{}), outcomes: map[string]int{}, latenciesBySecond: map[int64][]time.Duration{},
	}
}

// start sends bookings until stop is called, with a burst every third second.
func (c *callers) start() {
	c.inFlight.Go(func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for n := 0; ; n++ {
			rate := baseBookingsPerSecond
			if time.Now().Unix()%3 == 0 {
				rate = burstBookingsPerSecond
			}
			select {
			case <-c.done:
				return
			case <-time.After(time.Duration(rng.ExpFloat64() / float64(rate) * float64(time.Second))):
			}
			body := bytes.Repeat([]byte(fmt.Sprintf("booking %d ", n)), 1+rng.IntN(200))
			entry, serviceTime := rng.IntN(len(c.fleet.entries)), time.Duration(2+rng.IntN(20))*time.Millisecond
			c.inFlight.Go(func() { c.sendBooking(entry, n, serviceTime, body) })
		}
	})
}

func (c *callers) stop() {
	close(c.done)
	c.inFlight.Wait()
	c.client.CloseIdleConnections()
}

// sendBooking sends one booking and checks that the reply echoes its body.
func (c *callers) sendBooking(entry, n int, serviceTime time.Duration, body []byte) {
	startedAt := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.entries[entry].String()+"/v1/call/association/booking/slots", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(responder.IdempotencyKeyHeader, fmt.Sprintf("booking-%d", n))
	req.Header.Set("Fake-Sleep", serviceTime.String())
	reply := faker.Event{Kind: faker.CallReplied, Outcome: string(responder.Unknown)}
	resp, err := c.client.Do(req)
	if err == nil {
		replyBody, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		reply.Request = resp.Header.Get(responder.RequestHeader)
		if readErr == nil {
			reply.Outcome = resp.Header.Get(responder.OutcomeHeader)
		}
		if reply.Outcome == string(responder.Done) && !bytes.Equal(replyBody, body) {
			reply.Mismatch = "reply differs from the request"
		}
	}
	reply.At = time.Now()
	c.replies.Add(reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[reply.Outcome]++
	if reply.Outcome == string(responder.Done) {
		latency := time.Since(startedAt)
		c.latencies = append(c.latencies, latency)
		c.latenciesBySecond[startedAt.Unix()] = append(c.latenciesBySecond[startedAt.Unix()], latency)
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
	return quantile(c.latencies, q)
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(100 * time.Microsecond)
}

// secondsWithinContract returns in how many seconds the contract was met, and of how
// many.
func (c *callers) secondsWithinContract() (met, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, latencies := range c.latenciesBySecond {
		total++
		if quantile(latencies, 0.99) <= latencyLimit {
			met++
		}
	}
	return met, total
}

func platformFaults(down bool) faker.PlatformFaults { return faker.PlatformFaults{Down: down} }

// eventually retries until try succeeds, retryTimeout passes or ctx ends.
func eventually(ctx context.Context, try func() error) error {
	deadline := time.Now().Add(retryTimeout)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

var errRefused = errors.New("entry rejected the call")

// callEntry sends a request to an entry and decodes the JSON reply into result
// unless it is nil.
func callEntry(ctx context.Context, method, url, body string, header map[string]string, result any) error {
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
	reply, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%w: %s", errRefused, reply)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(reply, result)
}
