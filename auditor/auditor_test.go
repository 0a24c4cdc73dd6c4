package auditor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/auditor"
)

var bounds = auditor.Bounds{Body: 1 << 20, Header: 16 << 10}

// route returns a route without faults.
func route(name, prefix string) auditor.Route {
	return auditor.Route{Name: name, Host: "h.example", Prefix: prefix, Timeout: 3000, Allowance: 1000, Service: "p", Attempts: 2, Stretch: 1.5}
}

// config returns a configuration without faults.
func config() *auditor.Config {
	return &auditor.Config{
		Version: 2, Routes: []auditor.Route{route("r", "/r/"), route("s", "/s/")}, Services: []auditor.Service{{Name: "p"}},
		Limits: auditor.Limits{MaxHeader: 16 << 10, MaxBody: 256 << 10, HeaderTimeout: 3000, IdleTimeout: 15000},
	}
}

// A fault that passes the check is found only once callers get 404 or jobs don't start.
func TestCheckFindsEachFaultAtItsField(t *testing.T) {
	for name, tt := range map[string]struct {
		change  func(c *auditor.Config)
		path    string
		want    string
		warning bool
	}{
		"no version":         {func(c *auditor.Config) { c.Version = 0 }, "Version", "must be at least 1.*", false},
		"no routes":          {func(c *auditor.Config) { c.Routes, c.Services = nil, nil }, "Routes", "there are none.*", true},
		"unreadable":         {func(c *auditor.Config) { c.Routes[1] = auditor.Route{Unreadable: true} }, "Routes[1]", "entries skip this route.*", false},
		"no name":            {func(c *auditor.Config) { c.Routes[1].Name = "" }, "Routes[1].Name", "is missing.*", false},
		"same name":          {func(c *auditor.Config) { c.Routes[1].Name = "r" }, "Routes[1].Name", "is also that of route 0.*", false},
		"host with a port":   {func(c *auditor.Config) { c.Routes[1].Host = "h:80" }, "Routes[1].Host", "can never match.*port", false},
		"host with a path":   {func(c *auditor.Config) { c.Routes[1].Host = "h/x" }, "Routes[1].Host", "can never match.*", false},
		"prefix, no slash":   {func(c *auditor.Config) { c.Routes[1].Prefix = "s/" }, "Routes[1].Prefix", "can never match: paths begin.*", false},
		"prefix, open end":   {func(c *auditor.Config) { c.Routes[1].Prefix = "/s" }, "Routes[1].Prefix", "does not end in a slash.*", true},
		"shadowed":           {func(c *auditor.Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/r/", "H.Example" }, "Routes[1].Prefix", `can never match: route 0 \("r"\).*`, false},
		"negative priority":  {func(c *auditor.Config) { c.Routes[1].Priority = -1 }, "Routes[1].Priority", "must be at least 0.*", false},
		"no attempts":        {func(c *auditor.Config) { c.Routes[1].Attempts = 0 }, "Routes[1].Attempts", "must be at least 1.*", false},
		"stretch below 1":    {func(c *auditor.Config) { c.Routes[1].Stretch = 0.9 }, "Routes[1].Stretch", "must be at least 1.*", false},
		"negative allowance": {func(c *auditor.Config) { c.Routes[1].Allowance = -1 }, "Routes[1].Allowance", "must be at least 0", false},
		"short timeout":      {func(c *auditor.Config) { c.Routes[1].Timeout = 999 }, "Routes[1].Timeout", "is below the allowance of the objective, 1000 ms", false},
		"negative hint":      {func(c *auditor.Config) { c.Routes[1].Hint = &auditor.Hint{Decision: -1} }, "Routes[1].Hint", "times must be at least 0", false},
		"slow policy":        {func(c *auditor.Config) { c.Routes[1].Hint = &auditor.Hint{Decision: 999, PerWorker: 2} }, "Routes[1].Allowance", "is below the shortest work.* 1001 ms .*", false},
		"policy overflows":   {func(c *auditor.Config) { c.Routes[1].Hint = &auditor.Hint{Decision: 1<<63 - 1, PerWorker: 2} }, "Routes[1].Allowance", "is below the shortest work.*", false},
		"short tickets":      {func(c *auditor.Config) { c.Routes[1].Hint = &auditor.Hint{Decision: 30, PerWorker: 2, Validity: 32} }, "Routes[1].Hint.Validity", "no task may ever start.*", false},
		"service not listed": {func(c *auditor.Config) { c.Routes[1].Service = "q" }, "Routes[1].Service", `service "q" is not listed.*`, false},
		"no service":         {func(c *auditor.Config) { c.Routes[1].Service = "" }, "Routes[1].Service", "is missing.*", false},
		"service, no name":   {func(c *auditor.Config) { c.Services = append(c.Services, auditor.Service{}) }, "Services[1].Name", "is missing.*", false},
		"service, no routes": {func(c *auditor.Config) { c.Services = append(c.Services, auditor.Service{Name: "q"}) }, "Services[1]", `no route leads to service "q".*`, true},
		"service twice":      {func(c *auditor.Config) { c.Services = append(c.Services, auditor.Service{Name: "p"}) }, "Services[1].Name", "is also that of service 0", false},
		"service, negative":  {func(c *auditor.Config) { c.Services[0].Warmup = -1 }, "Services[0]", "numbers must be at least 0", false},
		"negative limit":     {func(c *auditor.Config) { c.Limits.MaxBody = -1 }, "Limits", "numbers must be at least 0", false},
		"large header":       {func(c *auditor.Config) { c.Limits.MaxHeader++ }, "Limits.MaxHeader", "entries refuse headers above 16384 bytes with 431", false},
		"large body":         {func(c *auditor.Config) { c.Limits.MaxBody = 1<<20 + 1 }, "Limits.MaxBody", "is above what a process of that memory has room for .* 1048576 bytes", false},
		"short idle time":    {func(c *auditor.Config) { c.Limits.IdleTimeout = 1 }, "Limits.IdleTimeout", "is below the time that a header may take, 3000 ms", true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cfg := config()
			tt.change(cfg)
			findings := auditor.New(bounds).Check(cfg)
			c.Assert(findings, qt.HasLen, 1)
			c.Check(findings[0].Path, qt.Equals, tt.path)
			c.Check(findings[0].Message, qt.Matches, tt.want)
			c.Check(findings[0].Warning, qt.Equals, tt.warning)
		})
	}
}

// A check that finds fault with what works would keep operators from changes that they need.
func TestCheckAcceptsWhatWorks(t *testing.T) {
	for name, change := range map[string]func(c *auditor.Config){
		"as it is":              func(*auditor.Config) {},
		"prefix in another":     func(c *auditor.Config) { c.Routes[1].Prefix = "/r/s/" },
		"same prefix elsewhere": func(c *auditor.Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/r/", "g.example" },
		"no bounds":             func(c *auditor.Config) { c.Limits = auditor.Limits{} },
		"no timeout":            func(c *auditor.Config) { c.Routes[0].Timeout = 0 },
		"policy":                func(c *auditor.Config) { c.Routes[0].Hint = &auditor.Hint{Decision: 30, PerWorker: 2, Validity: 33} },
		"policy without times":  func(c *auditor.Config) { c.Routes[0].Hint = &auditor.Hint{} },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := config()
			change(cfg)
			qt.New(t).Assert(auditor.New(bounds).Check(cfg), qt.HasLen, 0)
		})
	}
}

// The id of a job follows a prefix without a slash directly, so that it matches a part of the ids below a shorter one.
func TestCheckFindsAPrefixThatTakesTheJobsOfAnother(t *testing.T) {
	c := qt.New(t)
	cfg := config()
	cfg.Routes[1].Prefix = "/r/a0"
	findings := auditor.New(bounds).Check(cfg)
	c.Assert(findings, qt.HasLen, 2) // the other one is the missing slash
	c.Check(findings[1].Path, qt.Equals, "Routes[1].Prefix")
	c.Check(findings[1].Message, qt.Equals, `takes the requests to route 0 ("r") for jobs whose id begins with "a0", and answers them with 404`)
	c.Check(findings[1].Warning, qt.IsTrue)
}
