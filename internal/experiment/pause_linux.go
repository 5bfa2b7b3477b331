package experiment

import (
	"syscall"
	"time"
)

// pause waits for the duration. While a process is idle, the runtime rounds timers up to a
// millisecond, which is more than the delay between failure domains, so short waits block
// their thread.
func pause(d time.Duration) {
	if d <= 0 {
		return
	}
	if d > maxBlockingPause {
		time.Sleep(d)
		return
	}
	t := syscall.NsecToTimespec(d.Nanoseconds())
	// If a signal interrupts the wait, the remaining time is in t.
	for syscall.Nanosleep(&t, &t) == syscall.EINTR {
		continue
	}
}

const maxBlockingPause = 5 * time.Millisecond
