package vmlink

import "crocusglade.example/crocusglade/internal/bootclock"

const (
	// stepPeriods is the number of periods for which the status of another VM tells what that VM knows. One datagram may be lost, and one be late.
	stepPeriods = 3
	// delayWindow is the number of datagrams over which the shortest delay is taken. The clocks of two VMs run at slightly different rates, so that older
	// ones tell less and less.
	delayWindow = 200
)

// delayEstimate tells datagrams that were sent just now from those that waited, in the network or since this VM stood still: by how much later than
// usual they arrive, by the sender's clock.
type delayEstimate struct {
	// shortest is the smallest difference between the clocks of arrival and of sending in this window, which has count datagrams; before is that of the
	// window before, valid if hasBefore is set.
	shortest, before bootclock.Instant
	count            int
	hasBefore        bool
}

// sentAt returns the instant by this VM's clock at which a datagram was sent that arrived now, less the shortest time that datagrams take.
func (d *delayEstimate) sentAt(sent, now bootclock.Instant) bootclock.Instant {
	difference := now - sent
	if d.count == delayWindow {
		d.before, d.hasBefore, d.count = d.shortest, true, 0
	}
	if d.count == 0 || difference < d.shortest {
		d.shortest = difference
	}
	d.count++
	if d.hasBefore {
		return sent + min(d.shortest, d.before)
	}
	return sent + d.shortest
}

// InStep reports whether this VM has just heard from most VMs of its deployment, itself included, what they know. What another VM knew a few periods
// ago, such as a new software version of a service, this VM then knows too.
func (l *Link) InStep() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := bootclock.Now().Add(-stepPeriods * l.periodLocked())
	inTouch := 1
	for _, p := range l.peers {
		if p.receivedAt != 0 && p.statusAsOf > since {
			inTouch++
		}
	}
	return inTouch*2 > l.knownVMsLocked()
}
