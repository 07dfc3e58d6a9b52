/* Wrong on purpose: a process starts from a single peer, which may be stale.
 * Refuted by: assertion violated ( !(sure)||(sequence==head)) */
#define NEED 1
#include "change.pml"
