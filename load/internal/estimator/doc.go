// Package estimator extrapolates the resource use of deployments that are too
// large to run on one machine, from unit costs measured on small ones, and
// compares it with the budgets. The unit costs are called slopes.
//
// # Usage
//
//	slopes, err := estimator.Read(file)
//	for _, l := range estimator.Lines(slopes, estimator.TargetSize) {
//		fmt.Println(l)
//	}
//
// The result depends only on the slopes and the size, so a page that shows both
// can be verified. The benchmarks of bench/capacity measure the slopes.
package estimator
