// Package bootclock reads the clock that keeps counting while a VM is suspended.
//
// Go's monotonic clock stands still during a suspension and the wall clock may be set. Leases and the freshness of keys need
// neither to happen.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of CLOCK_BOOTTIME, as the time since the VM booted. Instants of different VMs can't be compared.
type Instant time.Duration

// Now returns the present instant. If the kernel has no such clock, it falls back to the monotonic clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Sub returns the time between two instants.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns a later instant.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Since returns the time since an instant.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// NowAsTime expresses the boot clock as a time.Time, for interfaces that take a wall clock. Only differences have a meaning.
func NowAsTime() time.Time { return time.Unix(0, 0).Add(time.Duration(Now())) }
