package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The crowd of the tests that run always, and the limits that a process has to keep under it.
const (
	crowdConns       = 400
	crowdMemory      = 96_000_000
	crowdDescriptors = 256
)

// Times of a crowd.
const (
	// crowdSendTimeout bounds how long a connection of a crowd sends, or waits for a response.
	crowdSendTimeout = 40 * time.Second
	// sampleInterval is the time between two counts of open descriptors.
	sampleInterval = 10 * time.Millisecond
)

// Bodies of a crowd.
const (
	// wholeEach is the number of connections of which one sends its body to the end.
	wholeEach = 20
	// missingBytes is what the others leave out at the end.
	missingBytes = 100
	// maxCallerBody is the largest body of a caller that the platform documents, in bytes.
	maxCallerBody = 262_144
)

// crowd is a number of connections that each send one request, most of them without its end,
// and stay open.
type crowd struct {
	name string
	// method and target are of the request; header has further lines of its head.
	method, target, header string
	body                   []byte
	// chunk is the size of the chunks in bytes; 0 for a body with an announced length.
	chunk int
	// announced is the length that is announced if it is not the length of body.
	announced int
	// piece is the number of bytes that are sent at once; 0 for all.
	piece int
	// raw is set if the body is sent as it stands, without a length.
	raw bool
}

// request returns the bytes that connection n of the crowd sends, and whether they are a
// whole request.
func (k *crowd) request(n int) (sent []byte, whole bool) {
	body := k.body
	whole = n%wholeEach == 0 && k.announced == 0
	if !whole {
		body = body[:len(body)-missingBytes]
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\n%s", k.method, strings.ReplaceAll(k.target, "ID", fmt.Sprintf("%016x", n+1)), k.header)
	switch {
	case k.raw:
		b.WriteString("\r\n")
		b.Write(body)
	case k.chunk == 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", max(k.announced, len(k.body)))
		b.Write(body)
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			size := min(k.chunk, len(body))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", size, body[:size])
			body = body[size:]
		}
		if whole {
			b.WriteString("0\r\n\r\n")
		}
	}
	return b.Bytes(), whole
}

// send opens connections to addr that each send the request of the crowd. It returns once all
// have sent what they have, or can't send any more; the connections stay open until the test ends.
func (k *crowd) send(c *qt.C, addr string, conns int) {
	var senders sync.WaitGroup
	short, _ := k.request(1)
	for n := range conns {
		senders.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, crowdSendTimeout)
			if err != nil {
				return
			}
			c.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(crowdSendTimeout))
			text, whole := short, false
			if n%wholeEach == 0 {
				text, whole = k.request(n)
			}
			piece := k.piece
			if piece == 0 {
				piece = len(text)
			}
			for len(text) > 0 {
				size := min(piece, len(text))
				if _, err := conn.Write(text[:size]); err != nil {
					return
				}
				text = text[size:]
			}
			if !whole {
				return
			}
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
	senders.Wait()
}

// check sends the crowd to a listener of a process. The process must stay alive, within its
// memory and descriptors, and answer an ordinary request afterwards.
func (k *crowd) check(c *qt.C, w *world, p *process, addr string, conns int, memory int64, descriptors int, ordinary func() bool) {
	done, most := make(chan struct{}), make(chan int)
	go func() {
		peak := 0
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			peak = max(peak, p.descriptors())
			select {
			case <-tick.C:
			case <-done:
				most <- peak
				return
			}
		}
	}()
	k.send(c, addr, conns)
	w.eventually("an ordinary request is answered", ordinary)
	close(done)
	opened, peak := <-most, p.peakMemory()
	c.Logf("%s: %d connections, peak memory %.1f MB, at most %d descriptors", k.name, conns, float64(peak)/1e6, opened)
	c.Check(peak > 0, qt.IsTrue, qt.Commentf("the process has exited"))
	c.Check(peak <= memory, qt.IsTrue, qt.Commentf("peak memory is %d bytes, more than %d", peak, memory))
	c.Check(opened <= descriptors, qt.IsTrue, qt.Commentf("%d descriptors are open, more than %d", opened, descriptors))
}

// withPlainBinary builds the binary without the race detector, which multiplies the memory of a
// process, and uses it until the test ends.
func withPlainBinary(t *testing.T) {
	if buildFlags == nil {
		return
	}
	plain := filepath.Join(t.TempDir(), "endivefall")
	out, err := exec.Command("go", "build", "-o", plain, "..").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	withRace := binary
	binary = plain
	t.Cleanup(func() { binary = withRace })
}

// callerCrowds returns the crowds of callers that submit a job to a queue under the prefix /q/.
func callerCrowds() []*crowd {
	const head, tail = `{"phases":[{"count":1,"cpu":200,"memMb":100,"estimateMs":500}],"spec":"`, `"}`
	job := func(size int) []byte { return []byte(head + strings.Repeat("x", size-len(head)-len(tail)) + tail) }
	whole, large := job(maxCallerBody), job(4*maxCallerBody)
	const post, path = "POST", "/q/ID"
	return []*crowd{
		{name: "whole", method: post, target: path, body: whole},
		{name: "piece by piece", method: post, target: path, body: whole, piece: 2048},
		{name: "large chunks", method: post, target: path, body: whole, chunk: 16 << 10},
		{name: "chunks of one byte", method: post, target: path, body: whole, chunk: 1},
		{name: "far over the limit announced", method: post, target: path, body: large, announced: 64 << 20},
		{name: "far over the limit just sent", method: post, target: path, body: large, chunk: 16 << 10},
	}
}

// bodyCrowd returns a crowd that sends a body of a size to a listener.
func bodyCrowd(name, method, target string, size int) *crowd {
	return &crowd{name: name, method: method, target: target, body: bytes.Repeat([]byte("x"), size)}
}

// upgradeCrowd returns a crowd that opens WebSockets and sends most of a large first frame.
func upgradeCrowd(name, target string, size int) *crowd {
	header := "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
	frame := []byte{0x82, 0x80 | 127, 0, 0, 0, 0, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size), 0, 0, 0, 0}
	return &crowd{name: name, method: http.MethodGet, target: target, header: header, body: append(frame, bytes.Repeat([]byte("x"), size)...), raw: true}
}
