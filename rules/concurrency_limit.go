package rules

// The limit of attempts in flight, which follows the latency of the backends.

// Parameters of the concurrency limit. Each holds for any deployment.
const (
	initialLimit         = 4.0  // attempts in flight per backend, divided among the gateways
	minLimitPerBackend   = 3.0  // the same; if all backends are slow, their cores still need work
	limitCutFactor       = 0.75 // applied when the pressure exceeds limitCutPressure
	limitCutPressure     = 0.38 // latency as a fraction of the aim above which the limit shrinks
	limitGrowPressure    = 0.28 // latency as a fraction of the aim below which the limit may grow
	limitGrowUtilization = 0.8  // fraction of the limit that must be in use for it to grow
	smallLimit           = 3.0  // below this many attempts, the limit applies to the mean number in flight
	loadTimeConstant     = 1.0
	topReserveFraction   = 0.15 // fraction of the limit reserved for top levels
	topWorthFraction     = 0.5  // levels worth at least this fraction of the highest are top levels
)

// limitReached reports whether requests of a level have to queue: lower levels may use only a part of the
// concurrency limit and of the memory for attempts. In a large fleet the limit of one gateway can be less
// than one attempt; it then applies to the mean number in flight.
func (g *Gateway) limitReached(level int) bool {
	limit, burst := g.concurrencyLimit*g.processFraction, smallLimit*g.processFraction
	maxOutstanding := float64(g.settings.MaxOutstanding)
	if g.worths[level] < topWorthFraction*g.worths[len(g.worths)-1] {
		limit *= 1 - topReserveFraction
		maxOutstanding *= 1 - topReserveFraction
	}
	if maxOutstanding > 0 && float64(g.outstanding) >= maxOutstanding {
		return true
	}
	return float64(g.inFlight) >= max(limit, burst) || limit < burst && g.meanInFlight >= limit
}

// adjustLimit updates the concurrency limit from one latency, given as a fraction of the aim. The limit
// shrinks when latency approaches the aim, at most once per round trip, and grows slowly while it is in use
// and latency is low.
func (g *Gateway) adjustLimit(ratio float64) {
	gain := min(max((g.now-g.pressureAt)/loadTimeConstant, 0.05), 0.3) // infrequent answers weigh more
	g.pressureAt = g.now
	g.pressure += gain * (min(ratio, 1) - g.pressure)
	switch {
	case g.pressure > limitCutPressure && g.now-g.limitCutAt > max(g.latency, g.settings.Tick):
		g.concurrencyLimit = max(g.concurrencyLimit*limitCutFactor, g.minLimit())
		g.limitCutAt = g.now
	case g.pressure < limitGrowPressure &&
		max(float64(g.inFlight), g.meanInFlight) >= limitGrowUtilization*g.concurrencyLimit*g.processFraction:
		g.concurrencyLimit += min(1, g.backendsPerGateway()) / max(g.concurrencyLimit, 1)
	}
}

// minLimit returns the lower bound of the concurrency limit.
func (g *Gateway) minLimit() float64 { return minLimitPerBackend * g.backendsPerGateway() }

// backendsPerGateway returns the number of backends for each gateway that uses them.
func (g *Gateway) backendsPerGateway() float64 {
	return float64(len(g.backendList)) / float64(g.settings.gatewaysPerBackend())
}
