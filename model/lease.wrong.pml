/* Wrong on purpose: a placer trusts its own belief that it holds the lease. */
#define BELIEF
#include "lease.pml"
