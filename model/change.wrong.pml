/* Wrong on purpose: a process starts from a single peer, whose state may be old.
 * Refuted by: assertion violated ( !(must_know)||(sequence==head)) */
#define QUORUM 1
#include "change.pml"
