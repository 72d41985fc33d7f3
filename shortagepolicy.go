package lentilmux

import "time"

// ShortageRequest is a request that competes for capacity of which there is too little,
// as input to [ShortagePolicy].
type ShortageRequest struct {
	Priority    int       // 0 is the most urgent
	Returning   bool      // whether its caller was refused for want of room before
	Since       time.Time // since when it waits
	ServedShare float64   // how often requests of its priority are served, relative to all requests of the service; 1 if unknown
}

// ShortagePolicy decides which requests get capacity first while there is too little.
type ShortagePolicy interface {
	// Compare returns a negative number if a gets capacity before b, a positive one if b
	// gets it first, and 0 if it does not matter.
	Compare(a, b ShortageRequest) int
	// Admits reports whether a request may take room while requests of the priority short
	// find none.
	Admits(request ShortageRequest, short int) (admits bool)
	// RetryFraction returns the fraction of the retry budget that requests may use whose
	// priority is the one of the given rank, from 0 for the most urgent, of count
	// priorities in use.
	RetryFraction(rank, count int) (fraction float64)
}
