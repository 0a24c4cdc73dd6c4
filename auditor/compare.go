package auditor

import (
	"fmt"
	"reflect"
)

// Effects of changed fields of a route.
const (
	laterJobs = "holds for jobs that are accepted from now on; accepted jobs keep what they were accepted with"
	noEffect  = "none on jobs: endivefall does not read this field"
)

// routeEffects has the effect of a change by the field of the route. The other fields have effects that depend on
// their values.
var routeEffects = map[string]string{
	"Priority": laterJobs, "Attempts": laterJobs, "Stretch": laterJobs, "Allowance": laterJobs,
	"Kind": noEffect, "Timeout": noEffect,
}

// comparison collects the changes between two configurations.
type comparison struct {
	from, to *Config
	changes  []Change
}

// Compare returns the changes from the configuration in force to the next one, and the findings about the step.
func (a *Auditor) Compare(from, to *Config) ([]Change, []Finding) {
	c := &comparison{from: from, to: to}
	c.compareRoutes()
	c.compareServices()
	c.compareFields("Limits", "", reflect.ValueOf(from.Limits), reflect.ValueOf(to.Limits), func(field string) string {
		if field == "MaxBody" {
			return "holds for submissions that arrive from now on; accepted jobs are not affected"
		}
		return "none on jobs: entries use bounds of their own"
	})
	if to.Version > from.Version {
		return c.changes, nil
	}
	if len(c.changes) == 0 && to.Version == from.Version {
		return nil, nil
	}
	return c.changes, []Finding{{Path: "Version", Message: fmt.Sprintf(
		"does not rise: version %d is in force, and an entry that has it never takes version %d, while one that starts later does; accepted jobs are not moved. Give it a version above %d", from.Version, to.Version, from.Version)}}
}

// inForce returns the routes that entries can read; of two with the same name the last one has the jobs.
func (c *Config) inForce() (list []*Route, byName, byPath map[string]*Route) {
	byName, byPath = map[string]*Route{}, map[string]*Route{}
	for n := range c.Routes {
		r := &c.Routes[n]
		if r.Unreadable {
			continue
		}
		list = append(list, r)
		byName[r.Name] = r
		if byPath[r.path()] == nil {
			byPath[r.path()] = r
		}
	}
	return list, byName, byPath
}

func (c *comparison) compareRoutes() {
	olds, oldByName, _ := c.from.inForce()
	news, byName, byPath := c.to.inForce()
	taken := map[*Route]bool{}
	for _, r := range olds {
		if oldByName[r.Name] != r {
			continue
		}
		next, renamed := byName[r.Name], false
		if next == nil { // entries look for a job's route by its name, then by the place where it was accepted
			next, renamed = byPath[r.path()], true
		}
		switch {
		case next == nil:
			c.add(Change{"Routes", r.Name, "", "to " + r.Service, "", fmt.Sprintf(
				"requests to %s get %s; accepted jobs run on at %s to their end, but callers no longer find them there, nor under a new name: they can neither query nor cancel them", r.path(), c.unknownAnswer(), r.Service)})
			continue
		case renamed:
			c.add(Change{"Routes", r.Name, "Name", r.Name, next.Name, "jobs accepted at this host and prefix go over to the new name: callers find them as before"})
		case r.path() != next.path():
			c.add(Change{"Routes", r.Name, "Prefix", r.path(), next.path(), c.movedPath(r, next, byPath)})
		}
		taken[next] = true
		c.compareRoute(r, next)
	}
	for _, r := range news {
		if byName[r.Name] == r && !taken[r] {
			effect := fmt.Sprintf("jobs are accepted at %s", r.path())
			if first := byPath[r.path()]; first != r {
				effect = fmt.Sprintf("none: route %s takes the requests to %s", first.Name, r.path())
			}
			c.add(Change{"Routes", r.Name, "", "", "to " + r.Service, effect})
		}
	}
}

// unknownAnswer returns what a request gets that no route takes.
func (c *comparison) unknownAnswer() string {
	for _, r := range c.to.Routes {
		if r.Unreadable {
			return "503, as a route can't be read"
		}
	}
	return "404"
}

// movedPath describes the effect of a route's new path.
func (c *comparison) movedPath(from, to *Route, byPath map[string]*Route) string {
	effect := "accepted jobs run on, and are found at the new path; "
	if other := byPath[to.path()]; other != to {
		effect = fmt.Sprintf("accepted jobs run on, but route %s takes the requests to the new path; ", other.Name)
	}
	if successor := byPath[from.path()]; successor != nil {
		return effect + fmt.Sprintf("requests to the old one go to route %s, which finds the jobs accepted there as well", successor.Name)
	}
	return effect + "requests to the old one get " + c.unknownAnswer()
}

func (c *comparison) compareRoute(from, to *Route) {
	a, b := *from, *to
	a.Host, a.Prefix, a.Name, a.Hint = b.Host, b.Prefix, b.Name, nil
	b.Hint = nil
	c.compareFields("Routes", from.Name, reflect.ValueOf(a), reflect.ValueOf(b), func(field string) string {
		if field == "Service" {
			return fmt.Sprintf("tasks of accepted jobs that wait start at workers of %s, and room that is kept for them at %s is given up; tasks that run finish where they are", to.Service, from.Service)
		}
		return routeEffects[field]
	})
	switch {
	case from.Hint == nil && to.Hint == nil:
	case from.Hint == nil:
		c.add(Change{"Routes", from.Name, "Hint", "", "set", "tasks of accepted jobs that wait start only at workers that the policy service names; tasks that run finish where they are"})
	case to.Hint == nil:
		c.add(Change{"Routes", from.Name, "Hint", "set", "", "tasks of accepted jobs that wait may start at any worker of the service"})
	default:
		c.compareFields("Routes", from.Name, reflect.ValueOf(*from.Hint), reflect.ValueOf(*to.Hint), func(string) string { return noEffect })
	}
}

func (c *comparison) compareServices() {
	from, to := map[string]Service{}, map[string]Service{}
	for _, s := range c.from.Services {
		from[s.Name] = s
	}
	for _, s := range c.to.Services {
		if _, listed := from[s.Name]; !listed && to[s.Name] == (Service{}) {
			c.add(Change{"Services", s.Name, "", "", "listed", "none on accepted jobs"})
		}
		to[s.Name] = s
	}
	const unread = "none on jobs by itself: endivefall does not read the services"
	for _, s := range c.from.Services {
		next, listed := to[s.Name]
		switch {
		case from[s.Name] != s: // listed twice
		case !listed:
			c.add(Change{"Services", s.Name, "", "listed", "", unread + "; tasks of accepted jobs that belong to it start only while it has workers"})
		default:
			c.compareFields("Services", s.Name, reflect.ValueOf(s), reflect.ValueOf(next), func(string) string { return unread })
		}
	}
}

func (c *comparison) add(change Change) { c.changes = append(c.changes, change) }

// compareFields adds a change for each field of two structs that differs.
func (c *comparison) compareFields(list, name string, from, to reflect.Value, effect func(field string) string) {
	for n := range from.NumField() {
		if field := from.Type().Field(n).Name; from.Field(n).Interface() != to.Field(n).Interface() {
			c.add(Change{list, name, field, fmt.Sprint(from.Field(n).Interface()), fmt.Sprint(to.Field(n).Interface()), effect(field)})
		}
	}
}
