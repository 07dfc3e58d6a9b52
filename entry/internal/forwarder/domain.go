package forwarder

import (
	"bamboohill/core/localizer"
	"bamboohill/core/viewer"
)

// remote reports whether a backend server is known to be in another failure domain.
func (f *Forwarder) remote(s *viewer.Server) bool { return localizer.Remote(f.Domain, s.Domain) }

// meterDomain counts a send by the failure domain of the server, and the parts of its prompt
// by whether they leave the domain of the server. Sends of unknown domains are not counted.
func (x *exchange) meterDomain(p placement) {
	if x.forwarder.Domain == "" || p.server.Domain == "" {
		return
	}
	kind := "calls"
	if x.service.Engine != nil {
		kind = "prompts"
	}
	x.forwarder.Meter.Add(kind+"_"+placeName(x.forwarder.remote(p.server)), 1)
	for _, h := range p.helpers {
		x.forwarder.Meter.Add("parts_"+placeName(localizer.Remote(p.server.Domain, h.Domain)), 1)
	}
}

// placeName returns the name of a failure domain in metrics.
func placeName(remote bool) string {
	if remote {
		return "other_domain"
	}
	return "own_domain"
}
