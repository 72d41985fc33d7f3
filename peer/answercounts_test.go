package peer

import (
	"testing"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
)

// TestAnswerCountsOfOtherBuilds guards against counts of another build, or false ones,
// that are read beyond the buckets or fill memory.
func TestAnswerCountsOfOtherBuilds(t *testing.T) {
	if all := answerCountsFromProto(nil); len(all) != 0 {
		t.Errorf("a digest without counts has %+v", all)
	}
	messages := []*peerpb.AnswerCounts{
		{Key: 1, FirstBucket: answerBuckets, Answers: []uint32{1}}, {Key: 2, FirstBucket: 1 << 31}, {Key: 3, FirstBucket: 40, Answers: make([]uint32, 10)},
		{Key: 4, FirstBucket: 48, Bounds: []uint32{1 << 31}}, {Key: 5},
	}
	all := answerCountsFromProto(messages)
	if len(all) != 2 || all[0].Key != 4 || all[0].Bounds[48] != maxAnswerWeight || len(all[1].Answers) != answerBuckets {
		t.Errorf("read %+v", all)
	}
	many := make([]*peerpb.AnswerCounts, 10*maxAnswerCounts)
	if all = answerCountsFromProto(many); len(all) > maxAnswerCounts {
		t.Errorf("read %d keys", len(all))
	}
	if messages := answerCountsToProto([]lentilmux.AnswerCounts{{Key: 1, Answers: make([]float32, 3)}}); len(messages) != 0 {
		t.Errorf("counts of other buckets are sent: %v", messages)
	}
}
