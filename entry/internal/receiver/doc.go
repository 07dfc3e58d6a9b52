// Package receiver serves the HTTP API of an entry for callers: the
// OpenAI-style API for prompts, and a path to plain services.
//
// # Usage
//
//	r := receiver.New(receiver.Config{Keeper: k, Dispatcher: d})
//	http.ListenAndServe(address, r.Handler())
//
// Every response has the header Bamboohill-Request with the id of the request.
// Every refusal or failure also has Bamboohill-Outcome, which is not-run or
// unknown, and Retry-After.
package receiver
