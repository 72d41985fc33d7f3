package lentilmux

import "time"

// ToleratedSilence is how long a sound upstream, store or VM may say nothing,
// whether its process or the link to it is silent, and go on as if nothing had
// happened. What cannot be taken back, such as closing a connection on which work
// is in flight, is done only after a longer silence.
const ToleratedSilence = 1500 * time.Millisecond
