// Package cataloger keeps the newest version of each team's document. A version
// only grows.
package cataloger

import (
	"sort"
	"sync"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
)

// VersionedDocument is a document in force.
type VersionedDocument struct {
	messenger.Doc
	Parsed *parser.Document
}

// Cataloger holds the documents in force in one process. It is safe for
// concurrent use.
type Cataloger struct {
	parser *parser.Parser
	mu     sync.Mutex
	// docs has the highest version seen of each team's document.
	docs map[string]*VersionedDocument
	// changed is told of each document that came into force, in order.
	changed func(*VersionedDocument)
}

// New returns an empty Curator.
func New() *Cataloger {
	return &Cataloger{parser: parser.New(), docs: map[string]*VersionedDocument{}}
}

// Put takes a document and says whether it is newer than what was there. A
// lower or equal version changes nothing, nor does one that does not parse,
// which only a newer release can have written.
func (c *Cataloger) Put(d messenger.Doc) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.docs[d.Team]; old != nil && old.Version >= d.Version {
		return false, nil
	}
	parsed, err := c.parser.Parse(d.Team, d.Source)
	if err != nil {
		return false, err
	}
	k := &VersionedDocument{Doc: d, Parsed: parsed}
	c.docs[d.Team] = k
	if c.changed != nil {
		c.changed(k)
	}
	return true, nil
}

// Get returns a team's document, or nil. It must not be changed.
func (c *Cataloger) Get(team string) *VersionedDocument {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.docs[team]
}

// All returns the documents, sorted by team.
func (c *Cataloger) All() []*VersionedDocument {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*VersionedDocument, 0, len(c.docs))
	for _, k := range c.docs {
		list = append(list, k)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Team < list[j].Team })
	return list
}

// Service returns a team's service and the version that set it, or nil.
func (c *Cataloger) Service(team, service string) (*parser.Service, *VersionedDocument) {
	k := c.Get(team)
	if k == nil {
		return nil, nil
	}
	return k.Parsed.Service(service), k
}

// batchBytes bounds the documents sent in one frame.
const batchBytes = 256 << 10

// Frames returns the documents as frames within the protocol's bound.
func (c *Cataloger) Frames() []messenger.Frame {
	var frames []messenger.Frame
	var docs []messenger.Doc
	size := 0
	flush := func() {
		if len(docs) > 0 {
			frames = append(frames, messenger.Frame{Kind: messenger.KindDocs, Docs: &messenger.Docs{Docs: docs}})
		}
		docs, size = nil, 0
	}
	for _, k := range c.All() {
		if size+len(k.Source) > batchBytes {
			flush()
		}
		docs = append(docs, k.Doc)
		size += len(k.Source)
	}
	flush()
	return frames
}

// OnChange sets what is told of each document that comes into force, in order.
// It must be called before the first Put, and the function must not call back.
func (c *Cataloger) OnChange(changed func(*VersionedDocument)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = changed
}
