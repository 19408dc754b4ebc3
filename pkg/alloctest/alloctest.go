// Package alloctest measures in tests how many bytes a call allocates, and makes inputs for
// that.
package alloctest

import (
	"math/rand/v2"
	"runtime"
)

// attempts is how often a call that exceeds its bound is measured, as goroutines of the
// runtime and of other tests may allocate at the same time.
const attempts = 10

// Exceeds returns by how many bytes a call allocates more than the bound: the least of
// several measurements, or 0 as soon as one is within it.
func Exceeds(bound int, call func()) int {
	least := 0
	for i := range attempts {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		call()
		runtime.ReadMemStats(&after)
		excess := int(after.TotalAlloc-before.TotalAlloc) - bound
		if excess <= 0 {
			return 0
		}
		if i == 0 || excess < least {
			least = excess
		}
	}
	return least
}

// Mutate returns a copy of a text in which up to four parts are removed, repeated, or
// replaced by one of the pieces.
func Mutate(r *rand.Rand, text []byte, pieces []string) []byte {
	text = append([]byte(nil), text...)
	for range 1 + r.IntN(4) {
		at := r.IntN(len(text) + 1)
		end := min(len(text), at+r.IntN(4))
		piece := pieces[r.IntN(len(pieces))]
		switch r.IntN(4) {
		case 0:
			piece = ""
		case 1:
			end = at
			piece = string(text[at:min(len(text), at+r.IntN(40))])
		case 2:
			end = at
		}
		text = append(text[:at:at], piece+string(text[end:])...)
	}
	return text
}
