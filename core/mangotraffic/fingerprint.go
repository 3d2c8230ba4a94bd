package mangotraffic

import (
	"github.com/cespare/xxhash/v2"

	"mangolane/core/mangomodel"
)

// ContentHash is a hash of what a call asks for, whoever its caller is.
type ContentHash uint64

// HashContent returns a hash of the host, method, target and body of a call, which are
// the same in all retries of the call by its client.
func HashContent(c *Call) ContentHash {
	h := xxhash.New()
	for _, part := range []string{string(c.Host), c.Method, c.Target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	for _, part := range c.Body {
		_, _ = h.Write(part)
	}
	return ContentHash(h.Sum64())
}

// Identify sets the fingerprint of a call from its content and its caller. Callers that
// send the same content have different fingerprints, since a server may process their
// calls differently. The caller is the workspace, which may have several keys, or else the
// owner of the key, if there is one.
func (c *Call) Identify() {
	c.Fingerprint = mangomodel.Fingerprint(c.Content)
	kind, caller := byte('w'), []byte(c.Workspace)
	if c.Workspace == "" {
		if !c.HasKey {
			return
		}
		kind, caller = 'k', c.Key[:]
	}
	h := xxhash.NewWithSeed(uint64(c.Content))
	_, _ = h.Write([]byte{kind})
	_, _ = h.Write(caller)
	c.Fingerprint = mangomodel.Fingerprint(h.Sum64())
}
