package peer

import (
	"math"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
)

const (
	// ratioUnit is the unit of the ratios of an upstream's speed in a digest. With it, a
	// ratio up to 5 takes one byte.
	ratioUnit = 0.04
	// pauseUnit is the unit of the share of paused streams in a digest.
	pauseUnit = 0.01
	// maxRatio bounds the ratios in a digest.
	maxRatio = 100
	// maxSpeedAnswers bounds the number of answers in a digest, to one byte. More change
	// nothing, since they serve only to weigh ratios.
	maxSpeedAnswers = 127
)

// speedsToProto sets the columns of the upstreams' speeds, unless none is known.
func speedsToProto(columns *peerpb.UpstreamLoads, loads []lentilmux.UpstreamLoad) {
	known := false
	for i := range loads {
		known = known || loads[i].Speed.Weight >= 0.5
	}
	if !known {
		return
	}
	for i := range loads {
		speed, step, prefill, pauses := loads[i].Speed, uint32(0), uint32(0), uint32(0)
		answers := uint32(math.Round(min(max(speed.Weight, 0), maxSpeedAnswers)))
		if answers > 0 {
			step, prefill = ratioToProto(speed.Step), ratioToProto(speed.Prefill)
			pauses = uint32(math.Round(min(max(speed.Pauses, 0), 1) / pauseUnit))
		}
		columns.StepRatio, columns.PrefillRatio = append(columns.StepRatio, step), append(columns.PrefillRatio, prefill)
		columns.SpeedAnswers = append(columns.SpeedAnswers, answers)
		columns.PausePercent = append(columns.PausePercent, pauses)
	}
}

// ratioToProto converts a ratio.
func ratioToProto(ratio float64) (units uint32) {
	return uint32(math.Round(min(max(ratio, ratioUnit), maxRatio) / ratioUnit))
}

// speedsFromProto converts the columns of the upstreams' speeds. It returns none if
// the columns are missing, and an error if they are incomplete.
func speedsFromProto(columns *peerpb.UpstreamLoads) (speeds []lentilmux.UpstreamSpeed, err error) {
	step, prefill, pauses, answers := columns.GetStepRatio(), columns.GetPrefillRatio(), columns.GetPausePercent(), columns.GetSpeedAnswers()
	count := len(columns.GetUpstream())
	if len(step)+len(prefill)+len(pauses)+len(answers) == 0 {
		return nil, nil
	}
	if len(step) != count || len(prefill) != count || len(pauses) != count || len(answers) != count {
		return nil, errors.Errorf("load digest has speeds of different lengths; expected %d values in each", count)
	}
	speeds = make([]lentilmux.UpstreamSpeed, count)
	for i := range speeds {
		if answers[i] > 0 && step[i] > 0 && prefill[i] > 0 {
			speeds[i] = lentilmux.UpstreamSpeed{
				Step: min(float64(step[i])*ratioUnit, maxRatio), Prefill: min(float64(prefill[i])*ratioUnit, maxRatio),
				Pauses: min(float64(pauses[i])*pauseUnit, 1), Weight: float64(min(answers[i], maxSpeedAnswers)),
			}
		}
	}
	return speeds, nil
}
