package auditor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivefall/endivefall/auditor"
)

// An operator who is told nothing, or something wrong, loses sight of accepted jobs.
func TestCompareDescribesTheEffectOnAcceptedJobs(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(c *auditor.Config)
		want   auditor.Change // Effect is a pattern
	}{
		"added":           {func(c *auditor.Config) { c.Routes = append(c.Routes, route("t", "/t/")) }, auditor.Change{"Routes", "t", "", "", "to p", "jobs are accepted at h.example/t/"}},
		"added, shadowed": {func(c *auditor.Config) { c.Routes = append(c.Routes, route("t", "/s/")) }, auditor.Change{"Routes", "t", "", "", "to p", "none: route s takes the requests to h.example/s/"}},
		"moved, shadowed": {func(c *auditor.Config) { c.Routes[1].Prefix = "/r/" }, auditor.Change{"Routes", "s", "Prefix", "h.example/s/", "h.example/r/", "accepted jobs run on, but route r takes .*; requests to the old one get 404"}},
		"removed":         {func(c *auditor.Config) { c.Routes = c.Routes[:1] }, auditor.Change{"Routes", "s", "", "to p", "", "requests to h.example/s/ get 404; accepted jobs run on at p .* neither query nor cancel them"}},
		"unreadable":      {func(c *auditor.Config) { c.Routes[1].Unreadable = true }, auditor.Change{"Routes", "s", "", "to p", "", "requests to h.example/s/ get 503.*"}},
		"renamed":         {func(c *auditor.Config) { c.Routes[1].Name = "t" }, auditor.Change{"Routes", "s", "Name", "s", "t", ".* go over to the new name: callers find them as before"}},
		"moved path":      {func(c *auditor.Config) { c.Routes[1].Prefix = "/t/" }, auditor.Change{"Routes", "s", "Prefix", "h.example/s/", "h.example/t/", ".* found at the new path; requests to the old one get 404"}},
		"moved service":   {func(c *auditor.Config) { c.Routes[1].Service = "q" }, auditor.Change{"Routes", "s", "Service", "p", "q", "tasks of accepted jobs that wait start at workers of q, .* finish where they are"}},
		"priority":        {func(c *auditor.Config) { c.Routes[1].Priority = 2 }, auditor.Change{"Routes", "s", "Priority", "0", "2", ".* accepted jobs keep .*"}},
		"attempts":        {func(c *auditor.Config) { c.Routes[1].Attempts = 3 }, auditor.Change{"Routes", "s", "Attempts", "2", "3", ".* accepted jobs keep .*"}},
		"stretch":         {func(c *auditor.Config) { c.Routes[1].Stretch = 2 }, auditor.Change{"Routes", "s", "Stretch", "1.5", "2", ".* accepted jobs keep .*"}},
		"timeout":         {func(c *auditor.Config) { c.Routes[1].Timeout = 4000 }, auditor.Change{"Routes", "s", "Timeout", "3000", "4000", "none on jobs.*"}},
		"policy":          {func(c *auditor.Config) { c.Routes[1].Hint = &auditor.Hint{} }, auditor.Change{"Routes", "s", "Hint", "", "set", ".* only at workers that the policy service names.*"}},
		"service added":   {func(c *auditor.Config) { c.Services = append(c.Services, auditor.Service{Name: "q"}) }, auditor.Change{"Services", "q", "", "", "listed", "none on accepted jobs"}},
		"service gone":    {func(c *auditor.Config) { c.Services = nil }, auditor.Change{"Services", "p", "", "listed", "", ".* start only while it has workers"}},
		"service's tls":   {func(c *auditor.Config) { c.Services[0].TLS = true }, auditor.Change{"Services", "p", "TLS", "false", "true", "none on jobs by itself.*"}},
		"body limit":      {func(c *auditor.Config) { c.Limits.MaxBody = 1000 }, auditor.Change{"Limits", "", "MaxBody", "262144", "1000", ".* accepted jobs are not affected"}},
		"header timeout":  {func(c *auditor.Config) { c.Limits.HeaderTimeout = 1000 }, auditor.Change{"Limits", "", "HeaderTimeout", "3000", "1000", "none on jobs.*"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			next := config()
			next.Version++
			tt.change(next)
			changes, findings := auditor.New(bounds).Compare(config(), next)
			c.Assert(findings, qt.HasLen, 0)
			c.Assert(changes, qt.HasLen, 1)
			c.Check(changes[0].Effect, qt.Matches, tt.want.Effect)
			tt.want.Effect = changes[0].Effect
			c.Check(changes[0], qt.Equals, tt.want)
		})
	}
}

// The jobs of a path that changes hands are found at both routes.
func TestCompareNamesTheRouteThatTakesAPath(t *testing.T) {
	c := qt.New(t)
	next := config()
	next.Version++
	next.Routes[0].Prefix = "/new/"
	next.Routes = append(next.Routes, route("t", "/r/"))
	changes, _ := auditor.New(bounds).Compare(config(), next)
	c.Assert(changes, qt.HasLen, 2)
	c.Check(changes[0].Effect, qt.Matches, ".*go to route t, which finds the jobs accepted there as well")
	c.Check(changes[1].Name, qt.Equals, "t")
}

// Entries ignore a version that does not rise, so that a correct file would have no effect.
func TestCompareRefusesAVersionThatDoesNotRise(t *testing.T) {
	for name, tt := range map[string]struct {
		version  uint64
		stretch  float64
		findings int
	}{"same file": {2, 1.5, 0}, "same version": {2, 2, 1}, "lower": {1, 1.5, 1}, "higher": {3, 2, 0}} {
		t.Run(name, func(t *testing.T) {
			next := config()
			next.Version, next.Routes[0].Stretch = tt.version, tt.stretch
			_, findings := auditor.New(bounds).Compare(config(), next)
			qt.New(t).Assert(findings, qt.HasLen, tt.findings)
		})
	}
}
