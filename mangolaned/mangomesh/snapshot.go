package mangomesh

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"
	"time"

	"mangolane/core/mangobroker"
	"mangolane/core/mangomodel"
)

const (
	// maxSnapshot bounds a snapshot, unpacked. The users' largest has some
	// thousand routes and servers of about 200 bytes each.
	maxSnapshot = 64 << 20
	// packedTime is how long a packed snapshot is given to those that know the
	// same: a small part of what a list may be old.
	packedTime = 100 * time.Millisecond
)

// SnapshotReply is a snapshot.
type SnapshotReply struct {
	// Packed is gob, compressed by flate to a fifth or less.
	Packed []byte
}

// Query serves the calls that change nothing.
type Query struct {
	broker Broker
	cache  packedCache
}

// Snapshot returns what this daemon knows beyond what another one does.
func (q *Query) Snapshot(known mangobroker.StateVersion, reply *SnapshotReply) error {
	var err error
	reply.Packed, err = q.cache.get(known, q.broker)
	return err
}

// packedCache keeps the last packed snapshot, since many daemons that start
// together ask for the same. It is no control state, so a lock guards it.
type packedCache struct {
	mu     sync.Mutex
	known  mangobroker.StateVersion
	at     time.Time
	packed []byte
}

func (c *packedCache) get(known mangobroker.StateVersion, broker Broker) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known == c.known && time.Since(c.at) < packedTime {
		return c.packed, nil
	}
	now := time.Now()
	snapshot := broker.Snapshot(known)
	snapshot.List.Age += packedTime
	packed, err := pack(snapshot)
	if err != nil {
		return nil, err
	}
	c.known, c.at, c.packed = known, now, packed
	return packed, nil
}

func pack(s mangobroker.Snapshot) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	if err := gob.NewEncoder(w).Encode(s); err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, mangomodel.Errors.Wrap(err)
	}
	return out.Bytes(), nil
}

func unpack(packed []byte) (mangobroker.Snapshot, error) {
	var s mangobroker.Snapshot
	r := flate.NewReader(bytes.NewReader(packed))
	if err := gob.NewDecoder(io.LimitReader(r, maxSnapshot)).Decode(&s); err != nil {
		return s, mangomodel.NewFault(mangomodel.StepConfigure, "", mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	return s, nil
}
