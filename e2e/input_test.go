package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/messenger"
)

// sendRaw sends bytes to an entry and returns the status of the response, and the
// code and outcome of its problem document.
func (w *world) sendRaw(text string) (status int, code, outcome string) {
	conn, err := net.Dial("tcp", w.entryHTTP[0])
	w.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(text))
	w.c.Assert(err, qt.IsNil)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	var p struct{ Code, Outcome string }
	_ = json.NewDecoder(resp.Body).Decode(&p)
	return resp.StatusCode, p.Code, p.Outcome
}

// TestBadInput checks that bad input gets a precise error, runs nothing, and
// leaves the entry serving.
func TestBadInput(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.apply("../examples/association.yaml")
	const path = "/v1/call/association/booking/slots"
	request := func(path string, lines ...string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: e\r\n" + strings.Join(append(lines, "", ""), "\r\n")
	}
	for _, tc := range []struct {
		name, text    string
		status        int
		code, outcome string
	}{
		{"unknown team", request("/v1/call/nobody/booking/x", "Content-Length: 0"), 404, "unknown-service", "not-run"},
		{"unknown service", request("/v1/call/association/nothing/x", "Content-Length: 0"), 404, "unknown-service", "not-run"},
		{"unknown path", request("/v2/call", "Content-Length: 0"), 404, "unknown-path", "not-run"},
		{"unknown job", request("/v1/jobs/association/nothing", "Content-Length: 0"), 404, "unknown-job", "not-run"},
		{"bad run name", request("/v1/jobs/association/rolls", "Content-Length: 0", "Idempotency-Key: a/b"), 400, "bad-name", "not-run"},
		{"body too large", request(path, "Content-Length: 99999999999"), 413, "body-too-large", "not-run"},
		{"bad deadline", request(path, "Content-Length: 0", "Endivefall-Deadline: soon"), 400, "bad-deadline", "not-run"},
		{"bad idempotence", request(path, "Content-Length: 0", "Endivefall-Idempotent: maybe"), 400, "bad-header", "not-run"},
		{"long key", request(path, "Content-Length: 0", "Idempotency-Key: "+strings.Repeat("k", 300)), 400, "bad-key", "not-run"},
		{"headers too large", request(path, "Content-Length: 0", "X-Long: "+strings.Repeat("x", 200<<10)), 431, "", ""},
		{"not HTTP", "hello\r\n\r\n", 400, "", ""},
		{"no version", "PUT /v1/teams/association HTTP/1.1\r\nHost: e\r\nContent-Length: 0\r\n\r\n", 428, "no-version", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			status, code, outcome := w.sendRaw(tc.text)
			c.Assert(status, qt.Equals, tc.status)
			c.Assert(code, qt.Equals, tc.code)
			c.Assert(outcome, qt.Equals, tc.outcome)
		})
	}
	c := qt.New(t)
	c.Assert(countCallStarts(w.records()), qt.Equals, 0)
	// A chunked body that is cut short must never look complete to the target.
	status, _, _ := w.sendRaw(request(path, "Transfer-Encoding: chunked", "Endivefall-Deadline: 2s") + "5\r\nhello\r\n")
	c.Assert(status, qt.Not(qt.Equals), 200)
	resp, body, err := w.call(0, http.MethodPost, path, nil, strings.NewReader("well"))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, 200)
	c.Assert(string(body), qt.Equals, "well")
}

// TestPeersThatDoNotFit checks that a peer with another protocol version or secret
// is refused with the reason, and that a second entry with the same id waits and
// logs why.
func TestPeersThatDoNotFit(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	text, err := os.ReadFile(w.confs[0])
	c.Assert(err, qt.IsNil)
	_, rest, _ := strings.Cut(string(text), "peer: ")
	peer, _, _ := strings.Cut(rest, "\n")
	addr := netip.MustParseAddrPort(peer)
	for _, tc := range []struct {
		hello messenger.Hello
		want  string
	}{
		{messenger.Hello{Version: 9, ID: "x", Incarnation: "1", Secret: "shared"}, ".*protocol version 9; this entry speaks 1, so upgrade one of both"},
		{messenger.Hello{Version: messenger.Version, ID: "x", Incarnation: "1", Secret: "other"}, ".*secret differs"},
		{messenger.Hello{Version: messenger.Version, Secret: "shared"}, ".*hello has no id"},
	} {
		_, _, err := messenger.Dial(context.Background(), addr, tc.hello)
		c.Assert(err, qt.ErrorIs, messenger.ErrHandshakeRefused)
		c.Assert(err, qt.ErrorMatches, tc.want)
	}

	w.eventually("the first entry holds its shards", func() bool { return len(w.status(w.entryHTTP[0]).Shards) == 4 })
	duplicate := strings.Replace(string(text), "listen: "+w.entryHTTP[0], "listen: "+freeAddr(c), 1)
	duplicate = strings.Replace(duplicate, "peer: "+peer, "peer: "+freeAddr(c), 1)
	p := w.start("duplicate", "entry", w.file("duplicate.yaml", duplicate))
	w.eventually("the second entry with the same id logs why it waits", func() bool {
		return strings.Contains(p.logs(), "another process holds this id")
	})
	c.Assert(w.status(w.entryHTTP[0]).Shards, qt.HasLen, 4, qt.Commentf("the first keeps its shards"))
	p.signal(syscall.SIGTERM)
	c.Assert(w.waitExit(p), qt.Equals, 0)
}

// TestCommands checks exit codes and output, also that errors in a document are
// reported with their positions.
func TestCommands(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, 1, 1)
	entryFlag := "-entry=" + w.entryHTTP[0]
	bad := w.file("bad.yaml", "team: association\nservices:\n  - name: booking\n    slots: many\n")
	for _, tc := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"-version"}, 0, "endivefall "},
		{[]string{"help", "apply"}, 0, "endivefall apply -version 12"},
		{[]string{"check", "../examples/association.yaml", "../examples/companhia.yaml"}, 0, "no fault"},
		{[]string{"check", "-kind", "entry", "../examples/entry.yaml"}, 0, "no fault"},
		{[]string{"check", bad}, 1, `bad.yaml:4:12: services[0].slots: "many" is no whole number`},
		{[]string{"check", "-kind", "thing", bad}, 2, "-kind must be entry, agent, team or config"},
		{[]string{"check", "-kind", "config", "../examples/config.json"}, 0, "no fault"},
		{[]string{"check", "-kind", "config", "-against", "../examples/config.json", "../examples/config.json"}, 0, "No changes."},
		{[]string{"check", "-kind", "config", bad}, 1, "bad.yaml:1:2: invalid character 'e' in literal true"},
		{[]string{"check", "-kind", "config", "-against", bad, "../examples/config.json"}, 1, "bad.yaml:1:2: invalid character 'e' in literal true"},
		{[]string{"check", "-kind", "config", "nowhere.json"}, 1, "nowhere.json: no such file"},
		{[]string{"check", "-kind", "config", "../examples/config.json", "../examples/config.json"}, 2, "takes one file"},
		{[]string{"check", "-json", "../examples/association.yaml"}, 2, "go with -kind config"},
		{[]string{"check", "nowhere.yaml"}, 1, "nowhere.yaml: no such file"},
		{[]string{"apply"}, 2, "apply takes one document"},
		{[]string{"apply", entryFlag, bad}, 1, "bad.yaml:4:12"},
		{[]string{"get", entryFlag, "nobody"}, 1, "unknown-team"},
		{[]string{"apply", entryFlag, "-dry", "../examples/association.yaml"}, 0, "+ services.booking: added"},
		{[]string{"apply", entryFlag, "../examples/association.yaml"}, 0, "association is in force"},
		{[]string{"apply", entryFlag, "-version", "1", "../examples/association.yaml"}, 1, "edited"},
		{[]string{"get", entryFlag, "association"}, 0, "team: association"},
		{[]string{"submit", entryFlag, "association/nothing"}, 1, "unknown-job"},
		{[]string{"submit", entryFlag, "-run", "r", "-wait", "association/rolls"}, 0, "40 of 40 tasks done"},
		{[]string{"cancel", entryFlag, "association/rolls/r"}, 0, "done"},
		{[]string{"status", entryFlag, "association/rolls/none"}, 1, "unknown-run"},
		{[]string{"status", entryFlag}, 0, "entry entry-0"},
		{[]string{"explain", entryFlag, "association/rolls/r"}, 0, `"reason"`},
		{[]string{"status", "-entry=127.0.0.1:1"}, 1, "name another with -entry"},
	} {
		out, code := w.run(tc.args...)
		c.Check(code, qt.Equals, tc.code, qt.Commentf("%s: %s", fmt.Sprint(tc.args), out))
		c.Check(out, qt.Contains, tc.want)
	}
}
