package peer

import (
	"testing"

	"lentilmux.example/lentilmux/peer/peerpb"
)

// TestWorkLeftOfOtherBuilds guards against an upgrade in which the work left that a
// build does not send is read as none, or a column of another length by index.
func TestWorkLeftOfOtherBuilds(t *testing.T) {
	columns := &peerpb.UpstreamLoads{Upstream: []uint32{1, 2}, Streams: []uint32{3, 4}, Waiting: []uint32{0, 0}, ReservedThousands: []uint32{5, 6}, SlowPercent: []uint32{100, 100}}
	loads, err := loadsFromProto(columns)
	if err != nil || len(loads) != 2 || loads[0].WorkKnown || loads[1].WorkKnown {
		t.Errorf("without the column: %+v, %v", loads, err)
	}
	if column := loadsToProto(loads).WorkTenths; column != nil {
		t.Errorf("unknown work is sent as %v", column)
	}
	columns.WorkTenths = []uint32{0, 1}
	if loads, err = loadsFromProto(columns); err != nil || loads[0].WorkKnown || !loads[1].WorkKnown || loads[1].WorkLeft != 0 {
		t.Errorf("one unknown and one without work: %+v, %v", loads, err)
	}
	columns.WorkTenths = []uint32{7}
	if _, err = loadsFromProto(columns); err == nil {
		t.Error("a column of another length gave no error")
	}
}

// TestSpeedsOfOtherBuilds guards against speeds that a build does not send being read
// as an upstream that takes no time, and columns of another length by index.
func TestSpeedsOfOtherBuilds(t *testing.T) {
	columns := &peerpb.UpstreamLoads{Upstream: []uint32{1, 2}, Streams: []uint32{3, 4}, Waiting: []uint32{0, 0}, ReservedThousands: []uint32{5, 6}, SlowPercent: []uint32{100, 100}}
	loads, err := loadsFromProto(columns)
	if err != nil || loads[0].Speed.Weight != 0 || loads[1].Speed.Weight != 0 {
		t.Errorf("without the columns: %+v, %v", loads, err)
	}
	columns.StepRatio, columns.PrefillRatio, columns.PausePercent, columns.SpeedAnswers = []uint32{0, 1 << 31}, []uint32{90, 50}, []uint32{1 << 31, 1 << 31}, []uint32{9, 1 << 31}
	if loads, err = loadsFromProto(columns); err != nil || loads[0].Speed.Weight != 0 || loads[1].Speed.Step != maxRatio || loads[1].Speed.Pauses != 1 || loads[1].Speed.Weight != maxSpeedAnswers {
		t.Errorf("one without a ratio and one out of bounds: %+v, %v", loads, err)
	}
	columns.StepRatio = nil
	if _, err = loadsFromProto(columns); err == nil {
		t.Error("a missing column beside others gave no error")
	}
}
