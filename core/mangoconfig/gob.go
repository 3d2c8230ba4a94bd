package mangoconfig

import "encoding/json"

// Documents travel between daemons by gob, which drops a pointer to false and
// tells no empty list from an absent one. Both have a meaning here, so the
// documents are wrapped as the JSON in which they were accepted.

// GobEncode returns the change as JSON.
func (c Change) GobEncode() ([]byte, error) { return json.Marshal(c) }

// GobDecode parses a change from JSON.
func (c *Change) GobDecode(data []byte) error { return json.Unmarshal(data, c) }

// GobEncode returns the documents as JSON.
func (d Documents) GobEncode() ([]byte, error) { return json.Marshal(d) }

// GobDecode parses documents from JSON.
func (d *Documents) GobDecode(data []byte) error { return json.Unmarshal(data, d) }
