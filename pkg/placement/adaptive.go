package placement

// adaptive says which rules for uneven demand and unequal endpoints apply. Tests switch them off
// one by one.
type adaptive struct {
	// tails: a run that outlives what its kind explains is judged by its expected rest.
	tails bool
	// speeds: the speed of an endpoint is learned robustly and forgotten when it changes.
	speeds bool
	// completion: a run waits for a faster endpoint only where it is expected to end in time.
	completion bool
	// ejectedShare: the share of a domain's endpoints that are ejected at a time is bounded.
	ejectedShare bool
	// quickReturn: an ejected endpoint is tried again soon.
	quickReturn bool
}

func newAdaptive(on bool) adaptive {
	return adaptive{tails: on, speeds: on, completion: on, ejectedShare: on, quickReturn: on}
}
