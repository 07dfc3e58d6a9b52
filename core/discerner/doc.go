// Package discerner tells the messages of the present run of a process from those that an
// earlier run has sent and that arrive late.
//
// Runs are only compared for equality: a process that restarts after its time of day was
// set back may have a lower number than before.
//
// # Usage
//
//	var d discerner.Discerner // of one sender
//	switch d.Discern(message.Run, time.Now()) {
//	case discerner.Present:
//	case discerner.Started: // drop what earlier runs have said
//	case discerner.Past: // ignore the message
//	}
package discerner
