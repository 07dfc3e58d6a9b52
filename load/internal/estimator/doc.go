// Package estimator works out what the system needs at a size that can't be run
// here, from slopes that were measured here, and says what fits the budgets.
//
// # Usage
//
//	slopes, err := estimator.Read(file)
//	for _, l := range estimator.Lines(slopes, estimator.Letter) {
//		fmt.Println(l)
//	}
//
// It is pure arithmetic: the same slopes and size give the same lines, so that
// a page which shows both can be checked. Slopes come from the benchmarks that
// bench/capacity runs.
package estimator
