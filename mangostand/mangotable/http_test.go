package mangotable

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestWriteToASilentStoreEndsWithItsConnection guards against a write that outlasts its
// connection, so that the store cannot be closed.
func TestWriteToASilentStoreEndsWithItsConnection(t *testing.T) {
	s := New()
	s.SetOutage(OutageSilent)
	server := httptest.NewServer(s)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+pathWrite, strings.NewReader(`{"writes":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		t.Errorf("status %d of a silent store", resp.StatusCode)
	}
	closed := make(chan struct{})
	go func() {
		server.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the store is still open")
	}
}
