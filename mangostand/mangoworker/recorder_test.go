package mangoworker

import (
	"net/http"
	"testing"
)

// TestArrivalsRecordTheWorkspace guards against a stand-in that overlooks a key that
// reaches it.
func TestArrivalsRecordTheWorkspace(t *testing.T) {
	w, r := start(t, "")
	for _, h := range []http.Header{{fieldTenant: {"hats"}}, {fieldKey: {"Token k"}, fieldTenant: {"a", "b"}}} {
		req, err := http.NewRequest(http.MethodGet, "http://"+w.Address()+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header = h
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	list := r.Arrivals()
	if len(list) != 2 || list[0].Tenant != "hats" || list[0].Key || list[1].Tenant != "a,b" || !list[1].Key {
		t.Errorf("%+v", list)
	}
}
