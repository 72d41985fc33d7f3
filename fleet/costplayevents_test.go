package fleet_test

// recordEvent publishes the events of a stream as traffic does.
func (p *costPlay) recordEvent(_ *playedStream) {}
