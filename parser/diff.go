package parser

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String writes the change as a line.
func (c Change) String() string {
	switch {
	case c.From == "":
		return "+ " + c.Field + ": " + c.To
	case c.To == "":
		return "- " + c.Field + ": " + c.From
	}
	return "~ " + c.Field + ": " + c.From + " -> " + c.To
}

// Diff lists what differs from one document to another, defaults included.
func Diff(from, to *Document) []Change {
	var changes []Change
	changes = compare(changes, "quota", reflect.ValueOf(from.Quota), reflect.ValueOf(to.Quota))
	changes = named(changes, "services", from.Services, to.Services, func(s Service) string { return s.Name })
	return named(changes, "jobs", from.Jobs, to.Jobs, func(j Job) string { return j.Name })
}

func named[T any](changes []Change, list string, from, to []T, name func(T) string) []Change {
	old := map[string]T{}
	for _, one := range from {
		old[name(one)] = one
	}
	for _, one := range to {
		path := list + "." + name(one)
		was, ok := old[name(one)]
		if !ok {
			changes = append(changes, Change{Field: path, To: "added"})
			continue
		}
		delete(old, name(one))
		changes = compare(changes, path, reflect.ValueOf(was), reflect.ValueOf(one))
	}
	for _, one := range from {
		if _, gone := old[name(one)]; gone {
			changes = append(changes, Change{Field: list + "." + name(one), From: "removed"})
		}
	}
	return changes
}

func compare(changes []Change, path string, from, to reflect.Value) []Change {
	if from.Kind() != reflect.Struct {
		if !reflect.DeepEqual(from.Interface(), to.Interface()) {
			changes = append(changes, Change{path, fmt.Sprint(from.Interface()), fmt.Sprint(to.Interface())})
		}
		return changes
	}
	for i := range from.NumField() {
		name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("yaml"), ",")
		changes = compare(changes, path+"."+name, from.Field(i), to.Field(i))
	}
	return changes
}
