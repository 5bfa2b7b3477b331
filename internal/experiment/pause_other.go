//go:build !linux

package experiment

import "time"

// pause waits for the duration, rounded up to the resolution of the runtime's timers.
func pause(d time.Duration) { time.Sleep(d) }
