package rockadmit

import "time"

// smoothedSamples is the inverse of the weight of the newest sample in a smoothed time.
const smoothedSamples = 16

// Smooth adds a sample to a smoothed time, which is 0 before the first.
func Smooth(smoothed *time.Duration, sample time.Duration) {
	if *smoothed == 0 {
		*smoothed = sample
		return
	}
	*smoothed += (sample - *smoothed) / smoothedSamples
}
