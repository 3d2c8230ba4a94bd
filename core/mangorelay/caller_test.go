package mangorelay

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangocrash"
	"mangolane/core/mangomodel"
)

// TestCompletionOfAnotherCallerClearsNoCrash guards against a call that crashes servers
// without end, because another workspace sends the same content and its calls complete, and
// against a refusal of these.
func TestCompletionOfAnotherCallerClearsNoCrash(t *testing.T) {
	for _, target := range []string{"/call/", "/read/", "/resume/"} {
		t.Run(target, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.install(2, keysOf{"deadly": "d", "sound": "s"})
				servers := ids("s1", "s2", "d1", "d2")
				crash := func() *mangomodel.Fault {
					for _, id := range servers {
						h.servers.runs[id] = []step{{err: errNoReply}, {err: errNoReply}}
					}
					h.newCallWith(target, "d")
					fault := h.serve()
					for _, id := range servers {
						h.servers.runs[id] = nil
					}
					return fault
				}
				var last *mangomodel.Fault
				for range mangocrash.MaxCrashes + 1 {
					last = crash()
					time.Sleep(3 * time.Second)
					for range 3 {
						h.newCallWith(target, "s")
						h.Expect(h.serve()).To(gomega.BeNil())
					}
				}
				h.Expect(last.Code).To(gomega.Equal(mangomodel.CodeQuarantined), "%v", last)
				h.Expect(last.Run).To(gomega.Equal(mangomodel.RunNot))
			})
		})
	}
}
