// Package bootclock reads CLOCK_BOOTTIME, which keeps running while a VM is suspended.
//
// Leases and the age of confirmed keys need such a clock: Go's monotonic clock stops during a suspension, and the wall clock may be
// set.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of CLOCK_BOOTTIME, the time since the VM booted. Instants of different VMs aren't comparable.
type Instant time.Duration

// Now returns the current instant. If the kernel lacks CLOCK_BOOTTIME, it is the time since the start of the process by Go's monotonic
// clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Sub returns the time from an earlier instant to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant d after i, or before it if d is negative.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Since returns the time since an instant.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// NowAsTime returns the boot clock as a time.Time, for interfaces that take a wall clock. Only differences between results are
// meaningful.
func NowAsTime() time.Time { return time.Unix(0, 0).Add(time.Duration(Now())) }
