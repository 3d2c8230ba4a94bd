package mangofront

import (
	"encoding/json"
	"net/http"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangowire"
)

// writeTimeout is how long a caller may take to accept one event.
const writeTimeout = 15 * time.Second

// sink writes the tokens of an answer as events.
type sink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	enc     *json.Encoder
	request mangomodel.RequestID
	// begun is set once the status was written.
	begun bool
	next  mangomodel.Tokens
}

func newSink(w http.ResponseWriter, id mangomodel.RequestID) *sink {
	return &sink{w: w, rc: http.NewResponseController(w), enc: json.NewEncoder(w), request: id}
}

// Token writes one token.
func (s *sink) Token(offset mangomodel.Tokens, text string) error {
	s.begin()
	s.next = offset + 1
	return s.write(mangowire.Event{Request: s.request, Offset: offset, Text: text})
}

// finish writes the end of the answer, or the fault that ended it.
func (s *sink) finish(err error) {
	if err == nil {
		s.begin()
		// A failed write means that the caller is gone.
		_ = s.write(mangowire.Event{Request: s.request, Offset: s.next, Done: true})
		return
	}
	if !s.begun {
		mangorest.WriteFault(s.w, err)
		return
	}
	body := mangowire.FaultBodyOf(mangomodel.AsFault(err, mangomodel.StepRespond))
	_ = s.write(mangowire.Event{Request: s.request, Offset: s.next, Fault: &body})
}

func (s *sink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "application/x-ndjson")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sink) write(e mangowire.Event) error {
	// A writer without deadlines is bounded by the caller's connection.
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := s.enc.Encode(e); err != nil {
		return err
	}
	return s.rc.Flush()
}
