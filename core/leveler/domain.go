package leveler

import "math"

// RemoteWeight is the cost of a call at a server in another failure domain, in durations of
// a call: that of the hops and bytes between domains. A server in the own domain whose
// speed and failures cost more than this beyond the best server is not preferred.
const RemoteWeight = 0.05

// unseenDeviations is the number of standard deviations by which more calls may be unseen
// than expected until a server counts as full.
const unseenDeviations = 3

// near returns the indexes of the servers in the own failure domain among which a call is
// drawn: those that are about as fast and sound as the best of all servers, if each of them
// has a slot left, also if others have sent more calls unseen than expected. It returns nil
// if the call is drawn among all servers. If only the full ones were left out, all calls of
// the domain would go to the last one that is not.
func near(all []Candidate, s Staleness) []int {
	var found []int
	remote, best := false, math.Inf(1)
	for _, c := range all {
		remote = remote || c.Remote
		best = min(best, intrinsic(c))
	}
	if !remote {
		return nil
	}
	unseen := s.unseen(ownDomain(all))
	for i, c := range all {
		if c.Remote || intrinsic(c) > best+RemoteWeight {
			continue
		}
		if taken := float64(c.Running) + unseen + unseenDeviations*math.Sqrt(unseen); taken+1 > float64(slots(c)) {
			return nil
		}
		found = append(found, i)
	}
	return found
}

// intrinsic returns the rank that a server has without any call.
func intrinsic(c Candidate) float64 {
	c.Running = 0
	return Rank(c)
}

// ownDomain returns the candidates that are not remote.
func ownDomain(all []Candidate) []Candidate {
	var own []Candidate
	for _, c := range all {
		if !c.Remote {
			own = append(own, c)
		}
	}
	return own
}
