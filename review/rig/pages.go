package main

import (
	"net/http"
	"strconv"
	"time"

	"github.com/endivefall/endivefall/storer"
)

// pageBytes bounds the items of one answer of the store, as the platform's pages say. At least one item is answered.
const pageBytes = 1 << 20

// cut returns how many of the items go into one answer.
func cut(items []storer.Item) int {
	size := 0
	for n, item := range items {
		if size += len(item.Key) + len(item.Value); size > pageBytes && n > 0 {
			return n
		}
	}
	return len(items)
}

// storeItems returns items as the store writes them.
func storeItems(items []storer.Item) []map[string]any {
	list := []map[string]any{}
	for _, item := range items {
		row := map[string]any{"key": item.Key, "revision": item.Version}
		if item.Deleted {
			row["deleted"] = true
		} else {
			row["value"] = item.Value
		}
		list = append(list, row)
	}
	return list
}

// servePages answers a list or a watch with no more than a page, and returns false for other calls and for those that fail.
func (f *fleet) servePages(w http.ResponseWriter, r *http.Request) bool {
	query := r.URL.Query()
	client := f.store.Client()
	switch r.URL.Path {
	case wire["range"]:
		page, err := client.ListPage(r.Context(), query.Get("prefix"), query.Get("after"))
		if err != nil {
			return false
		}
		n := cut(page.Items)
		answer(w, http.StatusOK, map[string]any{"items": storeItems(page.Items[:n]), "hasMore": page.More || n < len(page.Items), "at": page.Version})
		return true
	case wire["watch"]:
		after, err := strconv.ParseUint(query.Get("after"), 10, 64)
		if err != nil {
			return false
		}
		wait, err := strconv.Atoi(query.Get("waitMs"))
		if err != nil {
			return false
		}
		page, err := client.Watch(r.Context(), query.Get("prefix"), after, time.Now().Add(time.Duration(wait)*time.Millisecond))
		if err != nil {
			return false
		}
		n := cut(page.Items)
		at := page.Version
		if n < len(page.Items) {
			at = page.Items[n-1].Version
		}
		for n < len(page.Items) && page.Items[n].Version == at { // a transaction isn't split
			n++
		}
		answer(w, http.StatusOK, map[string]any{"events": storeItems(page.Items[:n]), "at": at})
		return true
	}
	return false
}
