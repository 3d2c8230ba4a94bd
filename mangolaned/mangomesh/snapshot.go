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
	"mangolane/core/mangopanic"
)

const (
	// maxSnapshotBytes bounds an unpacked snapshot. The largest expected one has some
	// thousand routes and servers of about 200 bytes each.
	maxSnapshotBytes = 8 << 20
	// packedTTL is how long a packed snapshot is reused for requests with the same
	// state version. It is added to the age of the packed server list, of whose
	// permitted age it is a small part.
	packedTTL = 100 * time.Millisecond
)

// SnapshotReply carries an encoded snapshot.
type SnapshotReply struct {
	// Packed is a gob-encoded mangobroker.Snapshot, which flate compresses to a
	// fifth or less.
	Packed []byte
}

// Query serves the calls that do not change the control state.
type Query struct {
	broker   Broker
	observer mangopanic.Observer
	cache    packedCache
}

// Snapshot returns the state of this daemon beyond another one's state version.
func (q *Query) Snapshot(version mangobroker.StateVersion, reply *SnapshotReply) (err error) {
	defer mangopanic.CatchError(q.observer, methodSnapshot, &err)
	reply.Packed, err = q.cache.get(version, q.broker)
	return err
}

// packedCache keeps the last packed snapshot, since many daemons that start
// together request the same one. It is not control state and is guarded by a
// lock.
type packedCache struct {
	mu       sync.Mutex
	version  mangobroker.StateVersion
	packedAt time.Time
	packed   []byte
}

func (c *packedCache) get(version mangobroker.StateVersion, broker Broker) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.version && time.Since(c.packedAt) < packedTTL {
		return c.packed, nil
	}
	now := time.Now()
	snapshot := broker.Snapshot(version)
	snapshot.List = snapshot.List.Delayed(packedTTL)
	snapshot.List.Age += packedTTL
	packed, err := pack(snapshot)
	if err != nil {
		return nil, err
	}
	c.version, c.packedAt, c.packed = version, now, packed
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
	if err := gob.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(&s); err != nil {
		return s, mangomodel.NewFault(mangomodel.StepConfigure, "", mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	return s, nil
}
