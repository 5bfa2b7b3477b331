//go:build !linux

package experiment

import "time"

// pause waits; the wait may be rounded up to the resolution of the runtime's timers.
func pause(d time.Duration) { time.Sleep(d) }
