package mangostage

import (
	"time"

	"mangolane/core/mangobalance"
	"mangolane/core/mangotraffic"
)

// eraWatch records since when this daemon knows an era of the store, and the claims of
// earlier eras in it. A claim that the store lost was taken before either.
type eraWatch struct {
	era   mangotraffic.Era
	since time.Time
	read  map[mangotraffic.ServiceName]firstRead
}

// firstRead is when a claim was first read, which token identifies.
type firstRead struct {
	token FencingToken
	at    time.Time
}

// observe records an era. It reports false for one that has ended.
func (w *eraWatch) observe(era mangotraffic.Era, now time.Time) bool {
	if era > w.era {
		w.era, w.since = era, now
	}
	return era == w.era
}

// lostBy returns by when all claims of earlier eras were taken, given the last claim of a
// service, which was not taken in the current era. If there is none, nobody has written
// since the return. A claim may have been written late, over one of the current era with
// the same version, so that the time since it was first read counts.
func (w *eraWatch) lostBy(service mangotraffic.ServiceName, last Claim, token FencingToken, now time.Time) time.Time {
	if last.Version == 0 {
		return w.since
	}
	if w.read[service].token != token {
		w.read[service] = firstRead{token, now}
	}
	return w.read[service].at
}

// blocked returns for how long the last claim of a service, or one that the store may have
// lost, still blocks claims of this daemon. The age of a claim of an earlier era says
// nothing, since the store's clock may have been set back.
func (c *Controller) blocked(service mangotraffic.ServiceName, last Claim, token FencingToken, now time.Time) time.Duration {
	inTransit := c.orderLease + 2*orderTimeout
	switch {
	case last.Holder != "" && token == c.lastToken[service]:
		return 0
	case last.TakenIn != last.Era:
		return inTransit - now.Sub(c.eras.lostBy(service, last, token, now))
	case last.Holder == "":
		return 0
	}
	return max(inTransit, mangobalance.SettleTime) - last.Age
}
