// Package publisher writes the results of package experimenter as lines of
// key=value pairs, as a CSV file, and as the measurements page with its plots.
//
// # Usage
//
//	publisher.WriteLine(os.Stdout, row)
//	err := publisher.Plots(dir, suite, rows)
//	err = publisher.WritePage(file, suite, "make bench", rows)
//
// Errors come from the writer or the file system.
package publisher
