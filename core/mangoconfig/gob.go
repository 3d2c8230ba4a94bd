package mangoconfig

import "encoding/json"

// Daemons exchange documents by gob, which omits a pointer to false and does
// not distinguish an empty list from an absent one. Both distinctions matter
// here, so documents are encoded as JSON within gob.

// GobEncode returns the change as JSON.
func (c Change) GobEncode() ([]byte, error) { return json.Marshal(c) }

// GobDecode sets the change from JSON.
func (c *Change) GobDecode(data []byte) error { return json.Unmarshal(data, c) }

// GobEncode returns the documents as JSON.
func (d Documents) GobEncode() ([]byte, error) { return json.Marshal(d) }

// GobDecode sets the documents from JSON.
func (d *Documents) GobDecode(data []byte) error { return json.Unmarshal(data, d) }
