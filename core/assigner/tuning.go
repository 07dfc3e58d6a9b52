package assigner

// Tuning holds the weights of the cost model. All are ratios or probabilities, without a
// unit, that do not depend on the sizes, limits or values of a load. TestTuning of package replayer halves
// and doubles each of them.
type Tuning struct {
	// RiskCenter and RiskWidth are the parameters of the logistic function that estimates
	// the probability of exceeding a limit, as shares of the limit. Of the predictions at
	// RiskCenter half are late, at RiskCenter-2.5*RiskWidth one in ten.
	RiskCenter, RiskWidth float64
	// OpeningCost is the cost of placing a request with a tight pause limit on an engine
	// that decodes no such request, since the engine then can't prefill long prompts until
	// such requests end. It is in values of the answers of least value.
	OpeningCost float64
	// LatencyWeight weights the expected time to the first event, so that of two plans that
	// meet the target the faster one is preferred.
	LatencyWeight float64
	// OvertakeWeight weights the delay of requests whose prefill is overtaken, since each of
	// them is overtaken more than once.
	OvertakeWeight float64
	// BurstFactor is how much faster than at the mean rate slots are taken at the start of a
	// burst. It estimates the slots that other entries take before this entry learns of it.
	BurstFactor float64
	// RankCost is the largest difference in cost between equal engines due to EntryRank, in
	// values of the answers of least value. It is about that of one, so that each entry fills
	// its own preferred engines first, and uses those of others before its prompts are late.
	RankCost float64
	// Engines become scarce as the share of time that they prefill rises from ScarceFrom to
	// ScarceTo. Above the latter too little is left for decoding.
	ScarceFrom, ScarceTo float64
	// MinPartChunks is the smallest part of a prompt to send to a helper, in chunks that an
	// engine prefills per step. For a smaller one the steps cost more than the prefill.
	MinPartChunks float64
	// MemoryShare is the share of an engine's memory that may be allocated, and DecoderShare
	// the share of that which a split prompt uses on the engine that decodes.
	MemoryShare, DecoderShare float64
	// MaxLateness is the maximum time to the first event, as a factor of the target, and
	// MaxIdleFactor as a factor of that on an idle engine. Predictions are off by about a
	// fifth.
	MaxLateness, MaxIdleFactor float64
	// A prompt waits at the entry for at most MaxWaitShare of its target less
	// Terms.ServeReserve, and MaxTimeoutShare of CallerTimeout.
	MaxWaitShare, MaxTimeoutShare float64
	// MaxCostShare is the maximum cost to serve without waiting, as a share of the value.
	MaxCostShare float64
	// IdleShare is the share of slots below which engines count as idle: prompts that arrive
	// then are a short burst, not an overload.
	IdleShare float64
	// IdlePrefill is the share of the engines' time taken by prefill from which they do not
	// count as idle, however many slots are free.
	IdlePrefill float64
}

var defaultTuning = DefaultTuning()

// DefaultTuning returns the weights in use.
func DefaultTuning() Tuning {
	return Tuning{
		RiskCenter: 0.95, RiskWidth: 0.06, OpeningCost: 0.35 / 1.5, LatencyWeight: 0.08, OvertakeWeight: 2, BurstFactor: 2, RankCost: 4.0 / 3,
		ScarceFrom: 0.3, ScarceTo: 0.8, MinPartChunks: 2, MemoryShare: 0.95, DecoderShare: 0.8,
		MaxLateness: 1.2, MaxIdleFactor: 1.5, MaxWaitShare: 0.5, MaxTimeoutShare: 0.2, MaxCostShare: 0.5, IdleShare: 0.5, IdlePrefill: 0.3,
	}
}
