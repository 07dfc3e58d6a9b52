// Package permitter decides whether an entry may send a request to a backend server now,
// by what the server has said in its answers.
//
// A server may name a limit: the requests per second that it takes from all entries
// together. One entry, the owner, allocates the limit of a server. It is found by
// rendezvous hashing, so that all entries that hear each other agree on it. An entry with
// a request for the server demands permits of the owner; each permit allows one request
// within a short time. So the sum over all entries follows the limit also where a share of
// it would be below one request per second, and entries without requests use none of it.
// An owner grants only while it hears more than half of the entries that it knows, or its
// part of the limit if it hears half of them.
//
// Entries tell each other at once what servers say, and again every second. A limit ends
// with an answer without it, to a request that was sent after the limit was last heard.
// While no such answer arrives the limit holds: the requests that it allows show whether
// the server still names it. What a server has said ends with the run of the server.
//
// A server that rejects a request may ask the entry for rest. It gets no request from this
// entry until the rest ends, whatever other answers say; other entries are not concerned.
//
// A server that says that it leaves gets no new request from any entry, until it starts
// anew.
//
// The package has no I/O and takes the time as an argument.
//
// # Usage
//
//	p := permitter.New(permitter.Config{Self: "10.0.0.1:80"})
//	p.Record(server, said, asked, now)
//	if v := p.Check(server, now); !v.Allowed() { p.Want(servers, attempt, now) }
//	if permit, ok := p.Take(server, now); ok { ...send before permit.Expires... }
//
//	for _, m := range p.Outbox(now) { ...send m.Content to m.To... }
//	p.Receive(from, content, now)
package permitter
