package fleet_test

// recordEvent publishes the events of a stream as traffic does.
func (p *costPlay) recordEvent(stream *playedStream) { stream.attempt.Delivered.Record(stream.events) }
