package fleet

import (
	"slices"

	"lentilmux.example/lentilmux"
)

// findAttempt returns the row of a request with the given attempt as its newest, or
// nil if that attempt is not in flight. Only the newest attempt holds reservations and
// runs a trial.
func (t *Tables) findAttempt(id lentilmux.RequestID, epoch lentilmux.Epoch) (request *RequestRow) {
	request = t.Requests.Find(id)
	switch {
	case request == nil:
		return nil
	case request.Epoch == epoch:
		return request
	}
	i := slices.IndexFunc(request.Older, func(older AttemptState) bool { return older.Epoch == epoch })
	if i < 0 {
		return nil
	}
	t.addLoad(request.Reservations, -1)
	t.endTrial(request)
	request.AttemptState, request.Older[i] = request.Older[i], request.AttemptState
	t.reserve(request)
	return request
}

// hasOlder reports whether an attempt races with a newer one.
func (r *RequestRow) hasOlder(epoch lentilmux.Epoch) bool {
	return slices.ContainsFunc(r.Older, func(older AttemptState) bool { return older.Epoch == epoch })
}

// returnToOlder makes the newest of the attempts beside the current one the current
// one, which has ended and holds no reservations.
func (t *Tables) returnToOlder(request *RequestRow) {
	newest := 0
	for i := range request.Older {
		if request.Older[i].Epoch > request.Older[newest].Epoch {
			newest = i
		}
	}
	request.AttemptState = request.Older[newest]
	request.Older = slices.Delete(request.Older, newest, newest+1)
	t.reserve(request)
}
