// Package receiver is the callers' interface of an entry: the OpenAI-style API
// for prompts and a path to plain services.
//
// # Usage
//
//	r := receiver.New(receiver.Config{Keeper: k, Dispatcher: d})
//	http.ListenAndServe(address, r.Handler())
//
// Every answer carries the header Bamboohill-Request with the request's id;
// every refusal or failure carries Bamboohill-Outcome with not-run or unknown,
// and every refusal Retry-After.
package receiver
