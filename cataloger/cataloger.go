// Package cataloger stores the newest version of each team's document. Versions
// only increase.
package cataloger

import (
	"sort"
	"sync"

	"github.com/endivefall/endivefall/messenger"
	"github.com/endivefall/endivefall/parser"
)

// VersionedDocument is a team's current document, as source and parsed.
type VersionedDocument struct {
	messenger.Doc
	Parsed *parser.Document
}

// Cataloger stores the current documents in one process. It is safe for concurrent
// use.
type Cataloger struct {
	parser *parser.Parser
	mu     sync.Mutex
	// docs maps each team to the highest version of its document.
	docs map[string]*VersionedDocument
	// onChange, if set, is called in order, with mu held, for each document that
	// becomes current.
	onChange func(*VersionedDocument)
}

// New returns an empty Cataloger.
func New() *Cataloger {
	return &Cataloger{parser: parser.New(), docs: map[string]*VersionedDocument{}}
}

// Put stores a document and reports whether it is newer than the stored one. A
// lower or equal version is ignored. A document that does not parse, which only a
// newer release can have written, returns an error and changes nothing.
func (c *Cataloger) Put(doc messenger.Doc) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.docs[doc.Team]; current != nil && current.Version >= doc.Version {
		return false, nil
	}
	parsed, err := c.parser.Parse(doc.Team, doc.Source)
	if err != nil {
		return false, err
	}
	versioned := &VersionedDocument{Doc: doc, Parsed: parsed}
	c.docs[doc.Team] = versioned
	if c.onChange != nil {
		c.onChange(versioned)
	}
	return true, nil
}

// Get returns a team's document, or nil. It must not be modified.
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
	for _, doc := range c.docs {
		list = append(list, doc)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Team < list[j].Team })
	return list
}

// Service returns a team's service, or nil, and the document that defines it.
func (c *Cataloger) Service(team, service string) (*parser.Service, *VersionedDocument) {
	doc := c.Get(team)
	if doc == nil {
		return nil, nil
	}
	return doc.Parsed.Service(service), doc
}

// maxBatchBytes bounds the sources in one frame. A larger document has a frame of
// its own.
const maxBatchBytes = 256 << 10

// Frames returns the documents in frames that do not exceed the protocol's limit.
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
	for _, doc := range c.All() {
		if size+len(doc.Source) > maxBatchBytes {
			flush()
		}
		docs = append(docs, doc.Doc)
		size += len(doc.Source)
	}
	flush()
	return frames
}

// OnChange sets a function that is called in order for each document that becomes
// current. It must be called before the first Put. The function must not call the
// Cataloger.
func (c *Cataloger) OnChange(onChange func(*VersionedDocument)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = onChange
}
