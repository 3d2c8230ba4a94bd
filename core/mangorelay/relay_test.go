package mangorelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"mangolane/core/mangofleet"
	"mangolane/core/mangomodel"
	"mangolane/core/mangotraffic"
)

func ids(list ...mangomodel.ServerID) []mangomodel.ServerID { return list }

func events(from, to mangotraffic.EventID) []mangotraffic.EventID {
	list := []mangotraffic.EventID{}
	for id := from; id <= to; id++ {
		list = append(list, id)
	}
	return list
}

// TestPlainCalls lists what a call of either kind does after each outcome.
func TestPlainCalls(t *testing.T) {
	tests := []struct {
		name   string
		target string
		first  step
		// sent are the servers that got the call.
		sent   []mangomodel.ServerID
		status int
		// run and code describe the fault, if any.
		run  mangomodel.Run
		code mangomodel.Code
	}{
		{"answered", "/call/1", step{body: "a"}, ids("s1"), 200, 0, 0},
		{"a server's own failure is final", "/read/1", step{status: 500, body: "a"}, ids("s1"), 500, 0, 0},
		{"lost answer of a call that runs once", "/call/1", step{err: errNoReply}, ids("s1"), 0, mangomodel.RunUnknown, mangomodel.CodeUnavailable},
		{"cut answer of a call that runs once", "/call/1", step{body: "a", cut: true}, ids("s1"), 0, mangomodel.RunUnknown, mangomodel.CodeUnknownOutcome},
		{"lost answer of a read", "/read/1", step{err: errNoReply}, ids("s1", "s2"), 200, 0, 0},
		{"cut answer of a read", "/read/1", step{body: "a", cut: true}, ids("s1", "s2"), 200, 0, 0},
		{"silence of a read", "/read/1", step{slow: time.Minute}, ids("s1", "s2"), 200, 0, 0},
		{"silence of a call that runs once", "/call/1", step{slow: time.Minute}, ids("s1"), 0, mangomodel.RunUnknown, mangomodel.CodeTimeout},
		{"not run", "/call/1", step{status: 503, notRun: true}, ids("s1", "s2"), 200, 0, 0},
		{"another server at the address", "/call/1", step{status: 421, notRun: true, moved: true}, ids("s1", "s2"), 200, 0, 0},
		{"no connection", "/call/1", step{err: errNoConn}, ids("s1", "s2"), 200, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			play(t, func(w *world) {
				w.path(test.target)
				w.servers.runs["s1"] = []step{test.first}
				w.servers.runs["s2"] = []step{{body: "b"}}
				fault := w.serve()
				w.Expect(w.servers.sent).To(gomega.Equal(test.sent))
				w.Expect(w.client.status).To(gomega.Equal(test.status))
				if test.status != 0 {
					w.Expect(fault).To(gomega.BeNil())
					return
				}
				w.Expect(fault.Run).To(gomega.Equal(test.run))
				w.Expect(fault.Code).To(gomega.Equal(test.code))
			})
		})
	}
}

func TestRefusalsAreTrue(t *testing.T) {
	tests := []struct {
		name string
		step step
		run  mangomodel.Run
	}{
		{"all refuse", step{status: 503, notRun: true}, mangomodel.RunNot},
		{"none is reached", step{err: errNoConn}, mangomodel.RunNot},
		{"a read may have run", step{err: errNoReply}, mangomodel.RunUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			play(t, func(w *world) {
				w.path("/read/1")
				w.servers.runs["s1"], w.servers.runs["s2"] = []step{test.step}, []step{test.step}
				w.Expect(w.serve().Run).To(gomega.Equal(test.run))
			})
		})
	}
}

func TestTimeoutAnswersInTime(t *testing.T) {
	play(t, func(w *world) {
		w.servers.runs["s1"] = []step{{slow: time.Minute}}
		began := time.Now()
		w.Expect(w.serve().Code).To(gomega.Equal(mangomodel.CodeTimeout))
		w.Expect(time.Since(began)).To(gomega.Equal(time.Second))
	})
}

func TestDeadlinePassedOnIsWhatIsLeft(t *testing.T) {
	play(t, func(w *world) {
		w.call.Deadline = time.Now().Add(100 * time.Millisecond)
		w.servers.runs["s1"] = []step{{slow: time.Minute}}
		began := time.Now()
		w.Expect(w.serve().Code).To(gomega.Equal(mangomodel.CodeTimeout))
		w.Expect(time.Since(began)).To(gomega.Equal(100 * time.Millisecond))
	})
}

func TestStream(t *testing.T) {
	play(t, func(w *world) {
		w.path("/once/1")
		w.servers.runs["d1"] = []step{{events: events(1, 3)}}
		w.Expect(w.serve()).To(gomega.BeNil())
		w.Expect(w.client.body).To(gomega.Equal("123"))
		w.Expect(w.servers.sent).To(gomega.Equal(ids("p1", "d1")))
		w.Expect(w.servers.options[0].Source.Server).To(gomega.BeEquivalentTo("p1"))
	})
}

// TestBrokenStream lists how streams go on, with each event once.
func TestBrokenStream(t *testing.T) {
	tests := []struct {
		name   string
		target string
		first  step
		second step
		body   string
		whole  bool
		after  mangotraffic.EventID
	}{
		{"goes on at another server", "/resume/1", step{events: events(1, 2), cut: true}, step{events: events(3, 4)}, "1234", true, 2},
		{"drops what comes twice", "/resume/1", step{events: events(1, 2), cut: true}, step{events: events(1, 4)}, "1234", true, 2},
		{"goes on after silence", "/resume/1", step{events: events(1, 2), silent: true}, step{events: events(3, 4)}, "1234", true, 2},
		{"begins again before the first event", "/resume/1", step{err: errNoReply}, step{events: events(1, 2)}, "12", true, 0},
		{"is not repeated unless resumable", "/once/1", step{events: events(1, 2), cut: true}, step{events: events(3, 4)}, "12", false, 0},
		{"is waited for until its time is over unless resumable", "/once/1", step{events: []mangotraffic.EventID{}, silent: true}, step{events: events(1, 2)}, "", false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			play(t, func(w *world) {
				w.path(test.target)
				w.servers.runs["d1"], w.servers.runs["d2"] = []step{test.first}, []step{test.second}
				fault := w.serve()
				w.Expect(w.client.body).To(gomega.Equal(test.body))
				w.Expect(fault == nil).To(gomega.Equal(test.whole))
				if !test.whole {
					w.Expect(fault.Run).To(gomega.Equal(mangomodel.RunUnknown))
					w.Expect(w.servers.options).To(gomega.HaveLen(1))
					return
				}
				w.Expect(w.client.begun).To(gomega.Equal(1))
				w.Expect(w.servers.options[1].LastEventID).To(gomega.Equal(test.after))
			})
		})
	}
}

func TestFullDecodeServerDoesNotCostThePrefill(t *testing.T) {
	play(t, func(w *world) {
		w.path("/once/1")
		w.servers.runs["d1"] = []step{{status: 503, notRun: true}}
		w.servers.runs["d2"] = []step{{events: events(1, 1)}}
		w.Expect(w.serve()).To(gomega.BeNil())
		w.Expect(w.servers.sent).To(gomega.Equal(ids("p1", "d1", "d2")))
	})
}

func TestLapsedCacheIsComputedElsewhere(t *testing.T) {
	play(t, func(w *world) {
		w.path("/once/1")
		refusal := step{status: 503, notRun: true}
		w.servers.runs["d1"] = []step{refusal, {events: events(1, 1)}}
		w.servers.runs["d2"] = []step{refusal}
		w.Expect(w.serve()).To(gomega.BeNil())
		w.Expect(w.servers.sent).To(gomega.Equal(ids("p1", "d1", "d2", "p2", "d1")))
	})
}

// TestStalledServerIsSetAside covers a server that takes calls and sends nothing.
func TestStalledServerIsSetAside(t *testing.T) {
	play(t, func(w *world) {
		w.servers.dead = map[mangomodel.ServerID]bool{"d1": true}
		w.servers.runs["d1"] = []step{{events: []mangotraffic.EventID{}, silent: true}}
		w.servers.runs["d2"] = []step{{events: events(1, 1)}}
		for range 3 {
			w.path("/resume/1")
			w.Expect(w.serve()).To(gomega.BeNil())
		}
		w.servers.sent = nil
		w.path("/resume/1")
		w.Expect(w.serve()).To(gomega.BeNil())
		w.Expect(w.servers.sent).NotTo(gomega.ContainElement(mangomodel.ServerID("d1")))
	})
}

// TestSilenceOfALiveServerIsWaitedOut covers preemption: the stream goes on.
func TestSilenceOfALiveServerIsWaitedOut(t *testing.T) {
	for _, target := range []string{"/resume/1", "/once/1"} {
		play(t, func(w *world) {
			w.path(target)
			w.servers.runs["d1"] = []step{{events: events(1, 3), pauseAfter: 1, pause: 1500 * time.Millisecond}}
			w.Expect(w.serve()).To(gomega.BeNil())
			w.Expect(w.client.body).To(gomega.Equal("123"))
			w.Expect(w.servers.sent).To(gomega.Equal(ids("p1", "d1")))
		})
	}
}

func TestFailedPrefillIsNotARun(t *testing.T) {
	play(t, func(w *world) {
		w.path("/once/1")
		w.servers.prefills["p1"] = []step{{err: errNoReply}}
		w.servers.runs["d1"] = []step{{events: events(1, 1)}}
		w.Expect(w.serve()).To(gomega.BeNil())
		w.Expect(w.servers.sent).To(gomega.Equal(ids("p1", "p2", "d1")))
	})
}

func TestUnusedCacheIsFreed(t *testing.T) {
	play(t, func(w *world) {
		w.path("/once/1")
		w.servers.runs["d1"] = []step{{err: errNoConn}}
		w.servers.runs["d2"] = []step{{err: errNoConn}}
		w.Expect(w.serve()).NotTo(gomega.BeNil())
		synctest.Wait()
		w.Expect(w.servers.freed).NotTo(gomega.BeEmpty())
	})
}

func TestRepeatsStopAtTheBudget(t *testing.T) {
	play(t, func(w *world) {
		refusal := step{status: 503, notRun: true}
		w.servers.runs["s1"], w.servers.runs["s2"] = []step{refusal}, []step{refusal}
		const calls = 12
		for range calls {
			w.path("/call/1")
			w.Expect(w.serve().Run).To(gomega.Equal(mangomodel.RunNot))
			time.Sleep(100 * time.Millisecond)
		}
		w.Expect(len(w.servers.sent)).To(gomega.BeNumerically("<=", calls+repeats))
	})
}

func TestClientThatLeavesEndsTheCall(t *testing.T) {
	play(t, func(w *world) {
		w.servers.runs["s1"] = []step{{slow: time.Minute}}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		began := time.Now()
		err := w.relay.Serve(ctx, w.call, w.client)
		w.Expect(mangomodel.HasCode(err, mangomodel.CodeCancelled)).To(gomega.BeTrue())
		w.Expect(time.Since(began)).To(gomega.Equal(50 * time.Millisecond))
	})
}

func TestClientThatLeavesIsNoFailureOfTheServer(t *testing.T) {
	play(t, func(w *world) {
		w.servers.runs["s1"] = []step{{slow: time.Minute}}
		for range 5 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(10*time.Millisecond, cancel)
			w.path("/call/1")
			w.Expect(w.relay.Serve(ctx, w.call, w.client)).NotTo(gomega.Succeed())
		}
		w.servers.runs["s1"] = []step{{body: "a"}}
		w.servers.sent = nil
		w.path("/call/1")
		w.Expect(w.serve()).To(gomega.BeNil())
		w.Expect(w.servers.sent).To(gomega.Equal(ids("s1")))
	})
}

func TestLeavingServerGetsNoSend(t *testing.T) {
	play(t, func(w *world) {
		leaving := mangotraffic.Server{ID: "s1", Service: "app", DataCentre: "a1", Slots: 4, State: mangotraffic.StateLeaving}
		w.Expect(w.fleet.Do(context.Background(), mangofleet.ChangeServers{
			Changes: []mangotraffic.ServerChange{{ID: "s1", Server: &leaving}}, Cursor: 2,
		})).To(gomega.Succeed())
		w.Expect(w.serve()).To(gomega.BeNil())
		w.Expect(w.servers.sent).To(gomega.Equal(ids("s2")))
	})
}

func TestCallThatBreaksServersIsRefused(t *testing.T) {
	play(t, func(w *world) {
		w.servers.runs["s1"], w.servers.runs["s2"] = []step{{err: errNoReply}}, []step{{err: errNoReply}}
		var last *mangomodel.Fault
		for range 4 {
			w.path("/read/1")
			last = w.serve()
			time.Sleep(5 * time.Second)
		}
		w.Expect(last.Code).To(gomega.Equal(mangomodel.CodeQuarantined))
		w.Expect(last.Run).To(gomega.Equal(mangomodel.RunNot))
	})
}

func TestUnknownRouteAndNoConfiguration(t *testing.T) {
	play(t, func(w *world) {
		w.path("/nothing/1")
		w.Expect(w.serve().Code).To(gomega.Equal(mangomodel.CodeNotFound))
	})
}
