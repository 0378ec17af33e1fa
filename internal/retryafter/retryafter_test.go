package retryafter

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against values of an endpoint that give a negative or endless time, or that end the process.
func FuzzParse(f *testing.F) {
	for _, value := range []string{"1.5", " 2", "-1", "", ".", "1e400", "99999999999999999999999999999999999999999999", "0x10", "1_0", "Inf", "NaN", "86400"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		d, valid := Parse(value)
		if d < 0 || d > Max {
			t.Fatalf("%q: %v", value, d)
		}
		if valid {
			if want, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err != nil || time.Duration(want*float64(time.Second)) != d {
				t.Fatalf("%q: %v", value, d)
			}
		}
	})
}
