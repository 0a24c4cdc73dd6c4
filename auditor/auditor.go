package auditor

import (
	"fmt"
	"strings"
)

// idDigits is the number of hexadecimal digits of a job's id, which follows the prefix in a path.
const idDigits = 16

// Bounds are what the processes can do.
type Bounds struct {
	// Body is the largest body that a process has room for, in bytes; 0 if that is not known.
	Body int64
	// Header is the largest header that an entry reads, in bytes.
	Header int64
}

// Auditor checks configurations. It is safe for concurrent use.
type Auditor struct{ bounds Bounds }

// New returns an Auditor for processes with these bounds.
func New(b Bounds) *Auditor { return &Auditor{b} }

// audit collects the findings about one configuration.
type audit struct {
	*Config
	bounds   Bounds
	findings []Finding
}

func (a *audit) fault(path, format string, args ...any) {
	a.findings = append(a.findings, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (a *audit) warn(path, format string, args ...any) {
	a.findings = append(a.findings, Finding{Path: path, Message: fmt.Sprintf(format, args...), Warning: true})
}

// Check returns the faults of a configuration.
func (a *Auditor) Check(c *Config) []Finding {
	t := &audit{Config: c, bounds: a.bounds}
	if c.Version == 0 {
		t.fault("Version", "must be at least 1: 0 stands for no configuration")
	}
	if len(c.Routes) == 0 {
		t.warn("Routes", "there are none: every request is answered with 404")
	}
	for n := range c.Routes {
		path, r := routePath(n), &c.Routes[n]
		if r.Unreadable {
			t.fault(path, "entries skip this route, as it has no host or prefix or a value of a wrong kind; until all routes can be read they answer requests to unknown paths with 503 instead of 404")
			continue
		}
		t.checkPath(path, r)
		t.checkObjective(path, r)
		t.checkHint(path, r)
	}
	t.checkRoutes()
	t.checkServices()
	t.checkLimits()
	return t.findings
}

func routePath(n int) string { return fmt.Sprintf("Routes[%d]", n) }

// lower returns a host as entries compare it.
func lower(host string) string { return strings.ToLower(host) }

func (a *audit) checkPath(path string, r *Route) {
	if r.Name == "" {
		a.fault(path+".Name", "is missing: jobs belong to a route by its name")
	}
	if strings.Contains(r.Host, ":") {
		a.fault(path+".Host", "can never match: hosts are compared without a port")
	}
	if strings.ContainsAny(r.Host, "/ ") {
		a.fault(path+".Host", "can never match: no host contains a slash or a space")
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		a.fault(path+".Prefix", "can never match: paths begin with a slash")
	case !strings.HasSuffix(r.Prefix, "/"):
		a.warn(path+".Prefix", "does not end in a slash: the id of a job follows it directly")
	}
}

func (a *audit) checkObjective(path string, r *Route) {
	if r.Priority < 0 {
		a.fault(path+".Priority", "must be at least 0, the highest")
	}
	if r.Attempts < 1 {
		a.fault(path+".Attempts", "must be at least 1: below it no number of failed runs ends a job")
	}
	if r.Stretch < 1 {
		a.fault(path+".Stretch", "must be at least 1: the objective of a job is this times its work, and below 1 it is shorter than the work of jobs that take longer than the allowance")
	}
	switch {
	case r.Allowance < 0:
		a.fault(path+".Allowance", "must be at least 0")
	case r.Timeout < 0:
		a.fault(path+".Timeout", "must be at least 0")
	case r.Timeout > 0 && r.Timeout < r.Allowance:
		a.fault(path+".Timeout", "is below the allowance of the objective, %d ms", r.Allowance)
	}
}

func (a *audit) checkHint(path string, r *Route) {
	if r.Hint == nil {
		return
	}
	h := *r.Hint
	if min(h.Decision, h.PerWorker, h.Validity) < 0 {
		a.fault(path+".Hint", "times must be at least 0")
		return
	}
	shortest := saturated(h.Decision, h.PerWorker)
	if r.Allowance >= 0 && r.Allowance < shortest {
		a.fault(path+".Allowance", "is below the shortest work: the policy service takes %d ms to name one worker, before anything starts", shortest)
	}
	if h.Validity > 0 && h.Validity <= shortest {
		a.fault(path+".Hint.Validity", "no task may ever start: a ticket for one worker takes %d ms, and is valid for no longer if that counts from the query", shortest)
	}
}

// saturated returns the sum of two numbers of at least 0, or the largest number.
func saturated(a, b int64) int64 {
	if sum := a + b; sum >= 0 {
		return sum
	}
	return 1<<63 - 1
}

// checkRoutes compares the routes with each other, as entries match requests: the longest prefix at a
// host, and of equal ones the first.
func (a *audit) checkRoutes() {
	byName, byPath := map[string]int{}, map[string]int{}
	for n := range a.Routes {
		r := &a.Routes[n]
		if r.Unreadable {
			continue
		}
		if first, ok := byName[r.Name]; ok && r.Name != "" {
			a.fault(routePath(n)+".Name", "is also that of route %d: jobs of both would belong to the last of them", first)
		}
		byName[r.Name] = n
		if first, ok := byPath[r.path()]; ok {
			a.fault(routePath(n)+".Prefix", "can never match: route %d (%q) has the same host and prefix, and the first one takes the requests", first, a.Routes[first].Name)
			continue
		}
		byPath[r.path()] = n
	}
	for n := range a.Routes {
		r := &a.Routes[n]
		for digits := 1; digits <= idDigits && digits < len(r.Prefix); digits++ {
			split := len(r.Prefix) - digits
			if !isHex(r.Prefix[split]) {
				break
			}
			if shorter, ok := byPath[lower(r.Host)+r.Prefix[:split]]; ok && !r.Unreadable {
				a.warn(routePath(n)+".Prefix", "takes the requests to route %d (%q) for jobs whose id begins with %q, and answers them with 404", shorter, a.Routes[shorter].Name, r.Prefix[split:])
			}
		}
	}
}

func isHex(b byte) bool { return strings.IndexByte("0123456789abcdefABCDEF", b) >= 0 }

func (a *audit) checkServices() {
	listed, used := map[string]int{}, map[string]bool{}
	for n, s := range a.Services {
		path := fmt.Sprintf("Services[%d]", n)
		if s.Name == "" {
			a.fault(path+".Name", "is missing: routes name a service by it")
		} else if first, ok := listed[s.Name]; ok {
			a.fault(path+".Name", "is also that of service %d", first)
		}
		listed[s.Name] = n
		if s.MaxConns < 0 || s.Warmup < 0 || s.WarmupRate < 0 {
			a.fault(path, "numbers must be at least 0")
		}
	}
	for n, r := range a.Routes {
		if r.Unreadable {
			continue
		}
		used[r.Service] = true
		if r.Service == "" {
			a.fault(routePath(n)+".Service", "is missing: its jobs would be accepted and never start")
		} else if _, ok := listed[r.Service]; !ok {
			a.fault(routePath(n)+".Service", "service %q is not listed: its jobs would be accepted, and start only if workers of that service exist", r.Service)
		}
	}
	for n, s := range a.Services {
		if s.Name != "" && !used[s.Name] {
			a.warn(fmt.Sprintf("Services[%d]", n), "no route leads to service %q: it gets no new jobs", s.Name)
		}
	}
}

func (a *audit) checkLimits() {
	l := a.Limits
	if min(l.MaxHeader, l.MaxBody, l.HeaderTimeout, l.IdleTimeout) < 0 {
		a.fault("Limits", "numbers must be at least 0")
	}
	if l.MaxHeader > a.bounds.Header {
		a.fault("Limits.MaxHeader", "entries refuse headers above %d bytes with 431", a.bounds.Header)
	}
	if a.bounds.Body > 0 && l.MaxBody > a.bounds.Body {
		a.fault("Limits.MaxBody", "is above what a process of that memory has room for while it arrives and is handled, %d bytes", a.bounds.Body)
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		a.warn("Limits.IdleTimeout", "is below the time that a header may take, %d ms", l.HeaderTimeout)
	}
}
