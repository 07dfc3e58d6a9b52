package profiler

import "math"

// Valuing says what the value of an answer depends on, where the configuration names no
// value. It decides who is served when there is too little room for all.
type Valuing int

// Ways to value an answer.
const (
	// BySize values an answer by the tokens of its prompt. Large prompts of any kind are
	// served before small ones, in proportion to their size.
	BySize Valuing = iota
	// ByKind values an answer by the size of its prompt relative to the mean of its kind.
	// All kinds are worth the same; prompts that need much prefill give way to small ones.
	ByKind
	// ByRank values all answers of a rank alike, those of the next less urgent one half.
	// Within a rank, prompts that need much prefill give way to small ones.
	ByRank
	// BySizeAndRank is the product of BySize and ByRank.
	BySizeAndRank
)

// valuings are the names of the ways in settings.
var valuings = map[string]Valuing{"size": BySize, "kind": ByKind, "rank": ByRank, "size-rank": BySizeAndRank}

// ValuingUsage describes the names that ParseValuing accepts.
const ValuingUsage = "size, kind, rank or size-rank"

// ParseValuing returns the way with a name from settings, and whether there is one.
func ParseValuing(name string) (Valuing, bool) {
	v, known := valuings[name]
	return v, known
}

// TokensPerValue is the number of prompt tokens that add one to the value of an answer by
// size. Callers pay a minimum for each request, and by the token.
const TokensPerValue = 10_000

// rankFactor is the ratio of the values of two answers whose ranks differ by one.
const rankFactor = 2

// Value returns the value of an answer in time to a prompt of a kind, by its index.
func (p *Parameters) Value(kind, rank, tokens int) float64 {
	if p == nil || kind >= len(p.sizes) {
		return p.bySize(float64(tokens))
	}
	return p.valueAt(kind, float64(tokens), rank)
}

func (p *Parameters) valueAt(kind int, tokens float64, rank int) float64 {
	urgency := math.Pow(rankFactor, float64(max(0, p.lowest-rank)))
	switch p.Valuing {
	case ByKind:
		return byKind(tokens, p.sizes[kind])
	case ByRank:
		return urgency
	case BySizeAndRank:
		return p.bySize(tokens) * urgency
	case BySize:
	}
	return p.bySize(tokens)
}

// meanValue returns the value of an answer to a prompt of the usual size, of the least
// urgent rank.
func (p *Parameters) meanValue(tokens float64) float64 {
	if p.Valuing == BySize || p.Valuing == BySizeAndRank {
		return p.bySize(tokens)
	}
	return 1
}

func (p *Parameters) bySize(tokens float64) float64 {
	if p == nil || p.PerValue <= 0 {
		return 1 + tokens/TokensPerValue
	}
	return 1 + tokens/p.PerValue
}

// byKind is half by the request and half by its tokens, so that the mean is one.
func byKind(tokens, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	return (1 + tokens/mean) / 2
}
