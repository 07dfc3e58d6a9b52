// Package publisher writes the results of package experimenter: a line of
// key=value pairs for each row, a CSV file, the page of measurements and its
// plots.
//
// # Usage
//
//	publisher.WriteLine(os.Stdout, row)
//	err := publisher.Plots(dir, suite, rows)
//	err = publisher.WritePage(file, suite, "make bench", rows)
//
// Errors are those of the writer or the file system.
package publisher
