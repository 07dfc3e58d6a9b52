package sharer

import (
	"math"
	"time"
)

// remaining returns the part of a sum that remains after the given age.
func remaining(age time.Duration) float64 { return math.Exp(-float64(max(0, age)) / float64(window)) }
