package parser

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is a difference between two documents. From is empty for an addition,
// To for a removal.
type Change struct {
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String returns the change as a line that begins with +, - or ~.
func (c Change) String() string {
	switch {
	case c.From == "":
		return "+ " + c.Field + ": " + c.To
	case c.To == "":
		return "- " + c.Field + ": " + c.From
	}
	return "~ " + c.Field + ": " + c.From + " -> " + c.To
}

// Diff returns the changes from one document to another, defaults included.
func Diff(from, to *Document) []Change {
	var changes []Change
	changes = diffValues(changes, "quota", reflect.ValueOf(from.Quota), reflect.ValueOf(to.Quota))
	changes = diffNamed(changes, "services", from.Services, to.Services, func(s Service) string { return s.Name })
	return diffNamed(changes, "jobs", from.Jobs, to.Jobs, func(j Job) string { return j.Name })
}

// diffNamed appends the changes between two lists whose items are matched by name.
func diffNamed[T any](changes []Change, field string, from, to []T, name func(T) string) []Change {
	unmatched := map[string]T{}
	for _, item := range from {
		unmatched[name(item)] = item
	}
	for _, item := range to {
		path := field + "." + name(item)
		previous, ok := unmatched[name(item)]
		if !ok {
			changes = append(changes, Change{Field: path, To: "added"})
			continue
		}
		delete(unmatched, name(item))
		changes = diffValues(changes, path, reflect.ValueOf(previous), reflect.ValueOf(item))
	}
	for _, item := range from {
		if _, removed := unmatched[name(item)]; removed {
			changes = append(changes, Change{Field: field + "." + name(item), From: "removed"})
		}
	}
	return changes
}

// diffValues appends the changes between two values, for structs by field.
func diffValues(changes []Change, path string, from, to reflect.Value) []Change {
	if from.Kind() != reflect.Struct {
		if !reflect.DeepEqual(from.Interface(), to.Interface()) {
			changes = append(changes, Change{path, fmt.Sprint(from.Interface()), fmt.Sprint(to.Interface())})
		}
		return changes
	}
	for i := range from.NumField() {
		name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("yaml"), ",")
		changes = diffValues(changes, path+"."+name, from.Field(i), to.Field(i))
	}
	return changes
}
