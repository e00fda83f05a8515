package cost

import "math"

const (
	// maxSamples bounds the weight of the past. At three requests a second, a change of the
	// lengths is learned within a minute.
	maxSamples = 128
	// priorSamples is the weight of what is assumed before the first observation, in
	// observations.
	priorSamples = 12
	// maxLogError bounds by how much a single answer counts as different from the
	// estimate, as a logarithm: a factor of 20.
	maxLogError = 3
)

// mean is an average in which old samples lose weight.
type mean struct {
	count, value float64
}

func (m *mean) observe(value float64) {
	m.count = min(m.count+1, maxSamples)
	m.value += (value - m.value) / m.count
}

// withPrior returns the average including priorSamples of an assumed value, if it is known.
func (m *mean) withPrior(prior float64) float64 {
	if prior == 0 {
		return m.value
	}
	return (m.value*m.count + prior*priorSamples) / (m.count + priorSamples)
}

// regression predicts a length from a hint by the line through the logarithms of both.
// The slope is below 1 where the hints vary more than the lengths that they hint at.
type regression struct {
	count float64
	// meanX and meanY are the means of the logarithms of hints and lengths, varX and
	// covXY the variance of the former and the covariance.
	meanX, meanY, varX, covXY float64
}

func (r *regression) observe(hint, length float64) {
	x, y := math.Log(max(hint, 1)), math.Log(length)
	if expected := math.Log(r.predict(hint)); r.count > 0 {
		y = min(max(y, expected-maxLogError), expected+maxLogError)
	}
	r.count = min(r.count+1, maxSamples)
	gain := 1 / r.count
	dx, dy := x-r.meanX, y-r.meanY
	r.meanX += gain * dx
	r.meanY += gain * dy
	r.varX += gain * (dx*(x-r.meanX) - r.varX)
	r.covXY += gain * (dx*(y-r.meanY) - r.covXY)
}

// predict returns the median length for a hint. Before the first observations it is the
// hint itself.
func (r *regression) predict(hint float64) float64 {
	if r.count == 0 {
		return hint
	}
	x := math.Log(max(hint, 1))
	weight := r.count / (r.count + priorSamples)
	slope := 1.0
	if r.varX > 0 {
		slope = 1 + weight*(min(max(r.covXY/r.varX, 0), 1)-1)
	}
	// The assumption is that hints are right: the line has slope 1 and no offset.
	offset := weight * (r.meanY - r.meanX)
	return math.Exp(r.meanX + offset + slope*(x-r.meanX))
}
