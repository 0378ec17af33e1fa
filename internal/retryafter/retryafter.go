// Package retryafter parses the time for which an endpoint that refused a request wants nothing more from the sender.
package retryafter

import (
	"strconv"
	"strings"
	"time"
)

// Header is the response header that holds the time, in seconds.
const Header = "Retry-After"

// Max bounds the time; a longer one is shortened to it.
const Max = 10 * time.Minute

// Parse parses a number of seconds, which may have a fraction. Any other value, such as a negative number or a date, is no time, and one
// beyond Max is shortened to it; both are reported as invalid.
func Parse(value string) (d time.Duration, valid bool) {
	value = strings.TrimSpace(value)
	if value == "" || strings.Trim(value, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil && seconds == 0:
		return 0, false
	case err != nil || seconds > Max.Seconds():
		return Max, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}
