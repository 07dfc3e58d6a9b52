package assigner

// freeTokens returns the number of tokens that an engine can still hold, less a
// reserve for answers that grow.
func freeTokens(t *Tuning, c *Candidate) int {
	return max(0, int(t.MemoryShare*float64(c.Engine.Capacity))-c.Load.ContextTokens)
}

// allocateMemory sets where the context of a prompt is held: on the engine that
// decodes if it fits there, otherwise also in reservations at the helpers, in
// proportion to their free memory. It reports false if there is too little memory.
func allocateMemory(p Prompt, members []score, decoder int, plan *Plan) bool {
	need := p.Tokens + p.Answer
	own := members[decoder].free
	plan.Context = need
	if need <= own {
		return true
	}
	sum := 0
	for i, m := range members {
		if i != decoder {
			sum += m.free
		}
	}
	if need > own+sum {
		return false
	}
	rest := need - int(p.tuning.DecoderShare*float64(own)*min(1, float64(need)/float64(own+sum)))
	plan.Context = need
	for i, m := range members {
		if i == decoder {
			continue
		}
		reserved := min(m.free, 1+int(float64(rest)*float64(m.free)/float64(sum)))
		plan.Reserved = append(plan.Reserved, reserved)
		plan.Context -= reserved
	}
	plan.Context = max(0, plan.Context)
	return plan.Context <= own
}
