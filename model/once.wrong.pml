/* Wrong on purpose: a claim is taken over when its lease is over. The paused
 * holder still hands over.
 * Refuted by: assertion violated !(handover) */
#define TAKEOVER
#include "once.pml"
