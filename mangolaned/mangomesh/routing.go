package mangomesh

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

// maxDocument bounds a configuration, unpacked. The users' largest has some
// thousand routes of about 200 bytes.
const maxDocument = 64 << 20

// RoutingReply is a configuration.
type RoutingReply struct {
	// Packed is the document as gob, compressed by flate to about a tenth.
	Packed []byte
}

// Query serves the calls that change nothing.
type Query struct {
	fleet Fleet
	cache *packedCache
}

// Routing returns the configuration in force.
func (q *Query) Routing(_ Empty, reply *RoutingReply) error {
	view := q.fleet.View()
	if view.Routing == nil {
		return mangomodel.Faultf(mangomodel.StepConfigure, "", mangomodel.CodeUnavailable, mangomodel.RunNot, "no configuration was read yet")
	}
	var err error
	reply.Packed, err = q.cache.pack(view)
	return err
}

// packedCache keeps the last packed configuration, since many daemons ask for
// it at the same time. It is no control state, so a lock guards it.
type packedCache struct {
	mu       sync.Mutex
	revision mangomodel.Revision
	packed   []byte
}

func (c *packedCache) pack(view *mangofleet.View) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed != nil && c.revision == view.Routing.Revision {
		return c.packed, nil
	}
	packed, err := pack(view.Routing.Document())
	if err != nil {
		return nil, err
	}
	c.revision, c.packed = view.Routing.Revision, packed
	return packed, nil
}

func pack(d *mangotraffic.Document) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	if err := gob.NewEncoder(w).Encode(d); err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	return out.Bytes(), nil
}

func unpack(packed []byte) (*mangotraffic.Document, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	var d mangotraffic.Document
	if err := gob.NewDecoder(io.LimitReader(r, maxDocument)).Decode(&d); err != nil {
		return nil, mangomodel.NewFault(mangomodel.StepConfigure, "", mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	return &d, nil
}
