package mangoentry

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"mangolane/core/mangomodel"
)

// State is the state of an entry's row.
type State int

const (
	// Reserved means that a process may have sent the call or may send it.
	Reserved State = iota
	// Done means that the call ran and its outcome is in the row.
	Done
	// Abandoned means that the reservation's call was never sent.
	Abandoned
	// Unknown means that the call was sent and no response was received.
	Unknown
)

// Token identifies one reservation. It is unique among all processes.
type Token string

// Entry is the content of an entry's row.
type Entry struct {
	State       State
	Token       Token
	Fingerprint mangomodel.Fingerprint
	Response    Response
	// At is when the row was written, by the writer's clock.
	At time.Time
}

// Response is the response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// RowKey returns the key of an operation's row.
func RowKey(ws mangomodel.WorkspaceID, key mangomodel.IdempotencyKey) mangomodel.TableKey {
	return mangomodel.TableKey(fmt.Sprintf("Entry/%s/%s", url.PathEscape(string(ws)), url.PathEscape(string(key))))
}

func encode(e Entry) ([]byte, error) { return json.Marshal(e) }

// lowestStatus and highestStatus bound the status of a final response.
const (
	lowestStatus  = 200
	highestStatus = 999
)

func decode(row mangomodel.Row) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return e, err
	}
	if status := e.Response.Status; e.State == Done && (status < lowestStatus || status > highestStatus) {
		return e, fmt.Errorf("the recorded response has status %d, expected %d to %d", status, lowestStatus, highestStatus)
	}
	return e, nil
}
