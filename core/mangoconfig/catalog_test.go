package mangoconfig

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoworkspace"
)

const keyHash = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"

// documents are valid changes, in the order in which they apply.
var documents = []string{
	`{"Template": {"ID": "t", "Settings": {"Models": ["m"], "Urgent": {"TTFT": "340ms", "TPOT": "31ms"},
	  "Basic": {"TTFT": "5s", "TPOT": "60ms"}, "KeyHash": "` + keyHash + `",
	  "Calls": [{"Name": "lookup", "Service": "s", "Path": "/lookup", "NonIdempotent": false}]}}}`,
	`{"Workspace": {"ID": "w", "Template": "t", "Settings": {"Calls": []}}}`,
	`{"Host": {"ID": "h", "Region": "r", "DataCentre": "dc", "Address": "127.0.0.1:1", "Role": "Decode",
	  "Model": "m", "Slots": 20, "Pieces": 60, "State": "Live"}}`,
	`{"Pool": {"Model": "m", "BasicFloor": 0.1, "UrgentReserve": 0.2, "PieceTokens": 2000, "KVBytesPerToken": 1, "LinkRate": 1}}`,
}

// apply applies documents sequentially to an empty catalog.
func apply(docs ...string) (*Catalog, error) {
	c := &Catalog{}
	for _, doc := range docs {
		change, err := Decode[Change]([]byte(doc))
		if err != nil {
			return nil, err
		}
		if c, err = c.Apply(change); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func TestApply(t *testing.T) {
	tests := []struct {
		name string
		// doc is the index of the document in which old becomes new.
		doc      int
		old, new string
		want     string
	}{
		{"valid", 0, "", "", ""},
		{"two documents", 3, `{"Pool"`, `{"Template": {"ID": "x"}, "Pool"`, "exactly one document"},
		{"no id", 3, `"Model": "m"`, `"Model": ""`, "no id"},
		{"wrong revision", 3, `{"Pool"`, `{"Expect": 7, "Pool"`, "expected revision 7"},
		{"missing template", 1, `"Template": "t"`, `"Template": "u"`, `template "u" does not exist`},
		{"idempotency not given", 0, `, "NonIdempotent": false`, ``, "NonIdempotent must be given"},
		{"targets", 0, `"TTFT": "340ms"`, `"TTFT": "0s"`, "positive"},
		{"key", 0, keyHash, "abc", "KeyHash"},
		{"address", 2, "127.0.0.1:1", "somewhere", "IP address"},
		{"slots", 2, `"Slots": 20`, `"Slots": 0`, "Slots"},
		{"role", 2, `"Decode"`, `"Encode"`, "Encode"},
		{"shares", 3, `"BasicFloor": 0.1`, `"BasicFloor": 0.9`, "less than 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			docs := append([]string(nil), documents...)
			docs[tt.doc] = strings.Replace(docs[tt.doc], tt.old, tt.new, 1)
			c, err := apply(docs...)
			if tt.want != "" {
				g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(tt.want)))
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(c.Revision()).To(gomega.BeEquivalentTo(4))
		})
	}
}

func TestTemplateChangesItsWorkspaces(t *testing.T) {
	g := gomega.NewWithT(t)
	edited := strings.Replace(strings.Replace(documents[0], "340ms", "500ms", 1), `{"Template"`, `{"Expect": 1, "Template"`, 1)
	c, err := apply(append(documents, edited)...)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w, _ := c.Workspace("w")
	g.Expect(w.Targets[mangomodel.RankUrgent].TTFT.Std().Milliseconds()).To(gomega.BeEquivalentTo(500))
	g.Expect(w.Calls).To(gomega.BeEmpty(), "the workspace's empty list overrides the template's calls")
	g.Expect(w.KeyMatches(mangoworkspace.DigestOf("key"))).To(gomega.BeTrue())
}

func TestTemplateInUseStays(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := apply(append(documents, `{"Expect": 1, "Remove": true, "Template": {"ID": "t", "Settings": {}}}`)...)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("does not exist")))
}

// TestDocumentsRoundTrip checks that documents encoded by gob or as JSON and
// decoded by another daemon give the same catalog.
func TestDocumentsRoundTrip(t *testing.T) {
	c, err := apply(documents...)
	if err != nil {
		t.Fatal(err)
	}
	codecs := map[string]func(Documents) (Documents, error){
		"gob": func(d Documents) (out Documents, err error) {
			var b bytes.Buffer
			if err := gob.NewEncoder(&b).Encode(d); err != nil {
				return out, err
			}
			return out, gob.NewDecoder(&b).Decode(&out)
		},
		"json": func(d Documents) (out Documents, err error) {
			data, err := json.Marshal(d)
			if err != nil {
				return out, err
			}
			return Decode[Documents](data)
		},
	}
	for name, roundTrip := range codecs {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			docs, err := roundTrip(c.Documents())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			rebuilt, err := FromDocuments(docs)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(rebuilt.Documents()).To(gomega.Equal(c.Documents()))
			before, _ := c.Workspace("w")
			after, _ := rebuilt.Workspace("w")
			g.Expect(after).To(gomega.Equal(before))
		})
	}
}

// FuzzDecode checks that Decode and Apply do not panic on any input, and that
// an accepted change has the same effect after it was encoded and decoded.
func FuzzDecode(f *testing.F) {
	for _, doc := range documents {
		f.Add([]byte(doc))
	}
	f.Add([]byte(`{"Expect": -1}`))
	f.Add([]byte("{\n\"Host\":{\"Role\":9}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := Decode[Change](data)
		if err != nil {
			return
		}
		next, err := (&Catalog{}).Apply(change)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(change)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode[Change](encoded)
		if err != nil {
			t.Fatalf("Decode of an encoded accepted change: %v", err)
		}
		other, err := (&Catalog{}).Apply(decoded)
		if err != nil {
			t.Fatalf("Apply of a decoded accepted change: %v", err)
		}
		a, _ := json.Marshal(next.Documents())
		b, _ := json.Marshal(other.Documents())
		if !bytes.Equal(a, b) {
			t.Fatalf("documents differ after encoding and decoding: %s, then %s", a, b)
		}
	})
}
