// Package prover holds the scenario tests: they check the guarantees of the
// system while processes are killed or paused, connections fail and services
// are unavailable. The real programs run as processes on loopback addresses.
//
// # Usage
//
//	go test ./prover/...
//	go test ./prover/... -run TestScenarios/once-killed -v
//
// Each file testdata/NAME.txtar is one scenario in the language of
// github.com/rogpeppe/go-internal/testscript with these additional commands:
//
//	stack KEY=VALUE ...      start the processes of a scenario; keys: entries engines services memory
//	                         prefill decode cold warmup work beat poll drain restart fencing
//	                         grace tls front alone weights spares copies relays balancer
//	                         (see launcher.Spec for meanings and units; balancer is the
//	                         interval between the readiness checks of the balancer in milliseconds,
//	                         and with it ENTRY may be the word balancer in ask, book and load)
//	signal NAME SIGNAL       send KILL, TERM, STOP or CONT to a process
//	start NAME               start a process again, or spareN, a second sidecar of engine N
//	issue NAME               write a new certificate for a process
//	grep-log NAME TEXT       check that the log of a process contains a text
//	exited NAME STATUS       wait for a process to end with an exit status
//	fault STANDIN NAME VALUE set a fault (see bamboohill/standin/injector)
//	cut FROM TO MODE         set how the relay treats the calls of one process to another, in a
//	                         stack with relays=true; FROM and TO are process names,
//	                         table, objects, list or *; MODE is pass, drop-requests
//	                         (accepted and never answered), drop-responses or reset
//	partition MODE           set the mode between the upper and the lower half of entries and
//	                         sidecars, in both directions
//	sequence ENTRY N         check that the active configuration of an entry has sequence number N
//	write-rows ENTRY N       write one row N times through an entry
//	list-vm VM leaving|stays set the state of a VM in the platform's list
//	put ENTRY KIND/NAME JSON write a configuration row through an entry
//	admin ENTRY METHOD PATH  call the administration API and print the response to stdout
//	ask ENTRY OUTCOME WORDS TOKENS [whole] [timeout=S] [model=M] [text=T] [key=K] [as=NAME] [same] [again]
//	                         send a prompt of WORDS words for TOKENS tokens of output; OUTCOME is
//	                         answered, not-run, unknown, alternatives as A|B, or any; the text of
//	                         the output is always checked; whole asks for one answer instead of
//	                         a stream; prompts with other names differ, unless same is given; with
//	                         again, a request that did not run is sent again for 20 s
//	book ENTRY OUTCOME KEY BODY [timeout=S] [as=NAME]
//	                         make a booking; OUTCOME as above
//	join NAME                wait for a call that was started with as=NAME
//	runs KEY N               check that a booking ran N times in total, also in services that
//	                         have ended since
//	crashes N                check that the engines crashed at most N times in total
//	memory ENGINE N          check that an engine uses N tokens of memory; N..M is a range
//	open ENTRY N             check that an entry sees N backend servers in the state open
//	unavailable ENTRY N      check that an entry sees N backend servers whose health is not alive
//	jobs ENGINE WHAT         with store, remember how many jobs an engine has started; with same
//	                         or more, check that it has started none or some since
//	balancer-ready N         check that the balancer considers N entries ready
//	balancer-refused N       check that N connections to the balancer found no entry
//	connection-close ENTRY   check that an entry answers and asks to close the connection
//	load ENTRY start|end     start three callers that send prompts and bookings, or end them
//	                         and check that every call was answered
//	within-capacity ENGINE   check that an engine was never offered more than its capacity
//	running ENTRY N          check that an entry sees at least N running requests
//	counts STANDIN PATH      print the counters of a stand-in to stdout
//	check-counts PROCESS PATH KEY=N ...
//	                         check counters of a stand-in or entry; N.. is at least N
//	until CMD ...            repeat a command until it succeeds, for at most 20 s
//
// A call with as=NAME runs in the background; join checks its outcome.
// Scenarios wait for states instead of sleeping for a fixed time, where a state
// can be observed.
package prover
