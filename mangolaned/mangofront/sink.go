package mangofront

import (
	"encoding/json"
	"net/http"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangowire"
)

// writeTimeout bounds the write of one event to a caller.
const writeTimeout = 15 * time.Second

// sink writes the tokens of a response as events.
type sink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	enc     *json.Encoder
	request mangomodel.RequestID
	// headerWritten is set once the status has been written.
	headerWritten bool
	nextOffset    mangomodel.Tokens
}

func newSink(w http.ResponseWriter, id mangomodel.RequestID) *sink {
	return &sink{w: w, rc: http.NewResponseController(w), enc: json.NewEncoder(w), request: id}
}

// Token writes one token.
func (s *sink) Token(offset mangomodel.Tokens, text string) error {
	s.writeHeader()
	s.nextOffset = offset + 1
	return s.write(mangowire.Event{Request: s.request, Offset: offset, Text: text})
}

// finish writes the last event: Done, or the fault that ended the response. If
// no token has been written yet, a fault becomes the status and the body.
func (s *sink) finish(err error) {
	if err == nil {
		s.writeHeader()
		// A failed write means that the caller has disconnected.
		_ = s.write(mangowire.Event{Request: s.request, Offset: s.nextOffset, Done: true})
		return
	}
	if !s.headerWritten {
		mangorest.WriteFault(s.w, err)
		return
	}
	body := mangowire.FaultBodyOf(mangomodel.AsFault(err, mangomodel.StepRespond))
	_ = s.write(mangowire.Event{Request: s.request, Offset: s.nextOffset, Fault: &body})
}

func (s *sink) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	s.w.Header().Set("Content-Type", "application/x-ndjson")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sink) write(e mangowire.Event) error {
	// An error means that w has no deadlines; the write then lasts at most as
	// long as the caller's connection.
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := s.enc.Encode(e); err != nil {
		return err
	}
	return s.rc.Flush()
}
