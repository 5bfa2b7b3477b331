package experiment

import (
	"syscall"
	"time"
)

// pause waits. The runtime's timers are rounded up to a millisecond while a process
// is idle, which is more than a distance, so short waits block their thread.
func pause(d time.Duration) {
	if d <= 0 {
		return
	}
	if d > maxBlockingPause {
		time.Sleep(d)
		return
	}
	t := syscall.NsecToTimespec(d.Nanoseconds())
	// A signal that ends the wait early leaves the remaining time in t.
	for syscall.Nanosleep(&t, &t) == syscall.EINTR {
		continue
	}
}

const maxBlockingPause = 5 * time.Millisecond
