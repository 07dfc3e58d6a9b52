// Package prover holds the scripted scenarios: the promises of the system
// under kills, pauses, cuts and outages, run over the real programs as
// processes on loopback addresses.
//
// # Usage
//
//	go test ./prover/...
//	go test ./prover/... -run TestScenarios/once-lost-answer -v
//
// Each file testdata/NAME.txtar is one scenario in the language of
// github.com/rogpeppe/go-internal/testscript with these commands besides:
//
//	stack KEY=VALUE ...      start a stack; keys: entries engines services memory
//	                         prefill decode cold warmup work beat poll drain restart fencing
//	                         grace tls front alone weights spares copies relays balancer
//	                         (milliseconds between its questions; then ENTRY may be the
//	                         word balancer in calls)
//	signal NAME SIGNAL       send KILL, TERM, STOP or CONT to a process
//	start NAME               start a process again, or spareN, a second sidecar of engine N
//	issue NAME               write a new certificate for a process
//	grep-log NAME TEXT       check that a process's log holds a text
//	exited NAME STATUS       wait for a process to end with an exit status
//	fault STANDIN NAME VALUE set a fault (see bamboohill/standin/injector)
//	cut FROM TO MODE         what becomes of the calls of one process to another, in a
//	                         stack with relays=true; FROM and TO are process names,
//	                         table, objects, list or *; MODE is pass, swallow (taken
//	                         and never answered), mute (answers are lost) or reset
//	halves MODE              cut the upper half of entries and sidecars off from the lower
//	sequence ENTRY N         check that an entry has change N in force
//	changes ENTRY N          make N changes of one row through an entry
//	listed VM leaving|stays  what the platform's list says of a VM
//	put ENTRY KIND/NAME JSON write a configuration row through an entry
//	admin ENTRY METHOD PATH  call the administration API; the answer is stdout
//	ask ENTRY OUTCOME WORDS TOKENS [whole] [timeout=S] [model=M] [text=T] [key=K] [as=NAME] [same] [again]
//	                         send a prompt of so many words; OUTCOME is answered,
//	                         not-run, unknown, some of them as A|B, or any; the text is always checked;
//	                         prompts with other names differ, but for same; with again, what was not
//	                         run is sent again for 20 s
//	book ENTRY OUTCOME KEY BODY [timeout=S] [as=NAME]
//	                         make a booking; OUTCOME as above
//	join NAME                wait for a call that was started with as=NAME
//	runs KEY N               check that a booking ran N times in all; services that end count, too
//	crashes N                check that the engines crashed N times at most
//	held ENGINE N            check that an engine holds N tokens of memory; N..M is a range
//	open ENTRY N             check that an entry sees N backend servers open
//	down ENTRY N             check that an entry holds N backend servers for silent or gone
//	started ENGINE WHAT      store how many jobs an engine has started, or check that it has
//	                         started none (same) or some (more) since
//	balanced N               check that the balancer holds N entries ready
//	refused N                check that N of its connections found no entry
//	polite ENTRY             check that an entry answers and asks to close the connection
//	calls ENTRY start|end    start three callers that send prompts and bookings, or end them
//	                         and check that every call was answered
//	borne ENGINE             check that an engine was never offered more than it bears
//	busy ENTRY N             check that an entry sees N requests running or more
//	counts STANDIN PATH      what a stand-in counted; the answer is stdout
//	counted PROCESS PATH KEY=N ...
//	                         check numbers that a stand-in or entry counts; N.. is at least N
//	until CMD ...            repeat a command until it succeeds, 20 s at most
//
// A call with as=NAME runs beside the script; its outcome is checked at join.
// Scenarios wait for states, never for times.
package prover
