/* Wrong on purpose: a placer checks that it holds the lease, then writes the row
 * in a transaction that does not check it. It is paused between the two, another
 * placer takes the lease and writes, and the first overwrites that row.
 * Refuted by: assertion violated (mine>=written) */
#define UNCHECKED
#include "lease.pml"
