package forwarder

import (
	"slices"

	"bamboohill/core/screener"
)

// abortCause returns why the current send is aborted, "" if it is not.
func (x *exchange) abortCause() string {
	switch {
	case x.forwarder.ending.Load():
		return causeEnding
	case x.aborted.Load():
		return causeBlockedPart
	}
	return ""
}

// AbortBlocked aborts the sends of prompts with a part that has become blocked, by its
// fingerprint, whose answers have not begun: their backend servers would crash as well.
// Trials continue.
func (f *Forwarder) AbortBlocked(fingerprint string) {
	f.unanswered.Abort(func(x *exchange) bool {
		blocked := slices.ContainsFunc(x.call.Parts, func(id string) bool { return screener.PartFingerprint(id) == fingerprint })
		if !blocked || x.trial {
			return false
		}
		x.aborted.Store(true)
		return true
	})
}
