package mangomodel

import "time"

// Elapsed returns the time from t to now by the monotonic clock or by the time of
// day, whichever is longer. The monotonic clock does not count the time in which a
// host was suspended, so a permission checked against it alone may have run out.
func Elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
