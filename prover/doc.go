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
//	                         grace tls front alone weights spares
//	signal NAME SIGNAL       send KILL, TERM, STOP or CONT to a process
//	start NAME               start a process again, or spareN, a second sidecar of engine N
//	issue NAME               write a new certificate for a process
//	grep-log NAME TEXT       check that a process's log holds a text
//	exited NAME STATUS       wait for a process to end with an exit status
//	fault STANDIN NAME VALUE set a fault (see bamboohill/standin/faulter)
//	put ENTRY KIND/NAME JSON write a configuration row through an entry
//	admin ENTRY METHOD PATH  call the administration API; the answer is stdout
//	ask ENTRY OUTCOME WORDS TOKENS [whole] [timeout=S] [model=M] [text=T] [key=K] [as=NAME] [same]
//	                         send a prompt of so many words; OUTCOME is answered,
//	                         not-run, unknown, some of them as A|B, or any; the text is always checked;
//	                         prompts with other names differ, but for same
//	book ENTRY OUTCOME KEY BODY [timeout=S] [as=NAME]
//	                         make a booking; OUTCOME as above
//	join NAME                wait for a call that was started with as=NAME
//	runs KEY N               check that a booking ran N times in all; services that end count, too
//	crashes N                check that the engines crashed N times at most
//	held ENGINE N            check that an engine holds N tokens of memory; N..M is a range
//	open ENTRY N             check that an entry sees N backend servers open
//	busy ENTRY N             check that an entry sees N requests running or more
//	counts STANDIN PATH      what a stand-in counted; the answer is stdout
//	counted PROCESS PATH KEY=N ...
//	                         check numbers that a stand-in or entry counts; N.. is at least N
//	until CMD ...            repeat a command until it succeeds, 20 s at most
//
// A call with as=NAME runs beside the script; its outcome is checked at join.
// Scenarios wait for states, never for times.
package prover
