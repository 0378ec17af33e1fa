// Package lease grants a process authority over a duty for a bounded time, with a fencing number.
package lease
