package mangopanic

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"mangolane/core/mangomodel"
)

type recorder struct{ places []string }

func (r *recorder) Panicked(where string, _ any, stack []byte) {
	if len(stack) > 0 {
		r.places = append(r.places, where)
	}
}

func TestPanicBecomesAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &recorder{}
	f := func() (err error) {
		defer CatchError(r, "f", &err)
		panic("unexpected")
	}
	err := f()
	g.Expect(mangomodel.AsFault(err, 0).Run).To(gomega.Equal(mangomodel.RunUnknown))
	g.Expect(r.places).To(gomega.Equal([]string{"f"}))
}

func TestRepeatEndsWithItsContextOrItsFunction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		r, runs := &recorder{}, 0
		Repeat(ctx, r, "loop", func(context.Context) {
			if runs++; runs < 3 {
				panic("oops")
			}
		})
		g.Expect(r.places).To(gomega.HaveLen(2))
		Repeat(ctx, r, "loop", func(context.Context) {
			cancel()
			panic("oops")
		})
		g.Expect(r.places).To(gomega.HaveLen(3))
	})
}
