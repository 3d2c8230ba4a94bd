package mangobackoff

import (
	"math"
	"strconv"
	"strings"
	"time"

	"mangolane/core/mangomodel"
)

// Parse returns the time that a server asks for in the values of a field in seconds, of
// which the longest counts. Values that are not a time are ignored, and the result is at
// most [Longest]; the error names the values of which either is true.
func Parse(values []string) (time.Duration, error) {
	var longest time.Duration
	var wrong []string
	for _, text := range values {
		d, ok := parse(text)
		if !ok {
			wrong = append(wrong, strconv.Quote(text))
		}
		longest = max(longest, d)
	}
	if len(wrong) > 0 {
		return longest, mangomodel.Errors.New("%s seconds", strings.Join(wrong, ", "))
	}
	return longest, nil
}

// parse returns the time of a value, and whether it can be used as it is.
func parse(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	// The comparison is false for NaN.
	if err != nil || !(seconds >= 0) || math.IsInf(seconds, 1) {
		return 0, false
	}
	if seconds > Longest.Seconds() {
		return Longest, false
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}
