package peer

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
)

// shortagesToProto converts the shortages of services to their protobuf messages. Ages
// are rounded up, so that they do not shrink from relay to relay.
func shortagesToProto(shortages []lentilmux.ServiceShortage) (messages []*peerpb.ServiceShortage) {
	for _, shortage := range shortages {
		messages = append(messages, &peerpb.ServiceShortage{
			Service: uint32(shortage.Service), Priority: uint32(min(max(shortage.Priority, 0), lentilmux.LeastUrgentRequest)),
			AgeMs: uint64((max(shortage.Age, 0) + time.Millisecond - 1) / time.Millisecond),
		})
	}
	return messages
}

// shortagesFromProto converts protobuf messages to the shortages of services. It drops
// those with a priority out of range.
func shortagesFromProto(messages []*peerpb.ServiceShortage) (shortages []lentilmux.ServiceShortage) {
	for _, message := range messages {
		if message.GetPriority() <= lentilmux.LeastUrgentRequest {
			shortages = append(shortages, lentilmux.ServiceShortage{
				Service: lentilmux.ServiceHash(message.GetService()), Priority: int(message.GetPriority()), Age: ageFromProto(message.GetAgeMs()),
			})
		}
	}
	return shortages
}
