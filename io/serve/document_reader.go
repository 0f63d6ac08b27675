package serve

import (
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/frame"
	"comfreypulley/core/model"
)

// documentReader passes events to the control loop. A replica of an earlier build keeps of
// a document only the fields that it knows, and the operator's text; from that the
// document is read again.
type documentReader struct {
	post func(event.Body)
	read func(*model.Document) *model.Document // nil when documents have no text
}

// Post passes an event on.
func (r *documentReader) Post(body event.Body) {
	if r.read != nil {
		switch b := body.(type) {
		case event.DiskLoaded:
			r.complete(&b.Image.Config.Document)
			r.completeEntries(b.Entries)
			body = b
		case event.PeerMessage:
			body = event.PeerMessage{From: b.From, Message: r.completeMessage(b.Message)}
		}
	}
	r.post(body)
}

func (r *documentReader) completeMessage(m frame.Message) frame.Message {
	switch m := m.(type) {
	case frame.AppendRequest:
		r.completeEntries(m.Entries)
	case frame.InstallImage:
		r.complete(&m.Image.Config.Document)
		return m
	}
	return m
}

func (r *documentReader) completeEntries(entries []entry.Entry) {
	for i := range entries {
		if c, ok := entries[i].Command.(entry.Change); ok && c.Document != nil {
			r.complete(&c.Document)
			entries[i].Command = c
		}
	}
}

func (r *documentReader) complete(d **model.Document) {
	if *d != nil && len((*d).Source) > 0 {
		*d = r.read(*d)
	}
}
