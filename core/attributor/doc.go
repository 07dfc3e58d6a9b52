// Package attributor finds the part of prompts that crashes backend servers, when the
// requests that hold it are never alike. A part crashes every server that begins to
// write an answer on it, so that no request with it is ever served; the other parts of
// these requests, and the parts of those that ran beside them, are served elsewhere.
//
// A crash counts against a part if a request with the part was running on the server, if
// no request with the part has been served since, and if no other part explains it. A
// part that has never been served is a culprit after few crashes. One that has been
// served before needs more, over a longer time, because servers also crash for other
// reasons, several at once.
//
// The package has no I/O and takes the time as an argument. core/screener distributes
// crashes and verdicts between processes.
//
// # Usage
//
//	a := attributor.New()
//	a.RecordCrash(crash, fingerprint, parts, now)
//	a.RecordAnswer(parts, began)
//	for _, culprit := range a.Culprits(crash.Run, blocked) { ... }
package attributor
