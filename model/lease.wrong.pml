/* Wrong on purpose: a placer looks whether it holds the lease, then writes the
 * row in a transaction that does not check it. It is paused between the two,
 * another takes the lease and writes, and the first overwrites that.
 * Refuted by: assertion violated (mine>=written) */
#define TRUST
#include "lease.pml"
