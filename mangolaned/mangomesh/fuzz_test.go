package mangomesh

import (
	"testing"

	"mangolane/core/mangobroker"
)

// FuzzSnapshot checks that no packed snapshot ends the process, and that a
// configuration in it is validated.
func FuzzSnapshot(f *testing.F) {
	packed, err := pack(mangobroker.Snapshot{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add([]byte{})
	f.Add([]byte("\x00\x00\xff\xff"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		snapshot, err := unpack(data)
		if err == nil && snapshot.Routing != nil {
			_, _ = snapshot.Routing.Routing()
		}
	})
}
