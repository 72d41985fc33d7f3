package peer

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
)

// refusedUnit is the unit of remaining times in a digest.
const refusedUnit = 100 * time.Millisecond

// refusedToProto converts refused requests to columns, or to nil if there are none.
// Remaining times are rounded up.
func refusedToProto(refused []lentilmux.RefusedRequest) (columns *peerpb.RefusedRequests) {
	if len(refused) == 0 {
		return nil
	}
	columns = &peerpb.RefusedRequests{}
	for _, request := range refused {
		columns.Request = append(columns.Request, uint32(request.Request))
		columns.RemainingTenths = append(columns.RemainingTenths, uint32((max(request.Remaining, 0)+refusedUnit-1)/refusedUnit))
	}
	return columns
}

// maxRefusedTenths bounds the remaining times that are read, so that their decoding cannot
// overflow.
const maxRefusedTenths = uint32(maxAge / refusedUnit)

// refusedFromProto converts columns to refused requests. It drops them if the columns
// differ in length, since callers that are not recognized are served like new ones.
func refusedFromProto(columns *peerpb.RefusedRequests) (refused []lentilmux.RefusedRequest) {
	requests, remaining := columns.GetRequest(), columns.GetRemainingTenths()
	if len(requests) != len(remaining) {
		return nil
	}
	for i, request := range requests {
		refused = append(refused, lentilmux.RefusedRequest{Request: lentilmux.RequestHash(request), Remaining: time.Duration(min(remaining[i], maxRefusedTenths)) * refusedUnit})
	}
	return refused
}
